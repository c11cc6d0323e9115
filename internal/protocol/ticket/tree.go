package ticket

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"unicode/utf8"

	"go.yaml.in/yaml/v3"
)

// Limits of a document. A ticket is sent in one request, whose size limits its text;
// expansion has limits of its own.
const (
	MaxTextBytes = 60 << 10
	maxDepth     = 24
	maxValues    = 20000
)

// Error is an error in a ticket, with its position and field.
type Error struct {
	Line, Col int    // counted from 1; 0: not known
	Field     string // path of the field, such as steps[0].parameterSpace.combination
	Text      string
}

func (e *Error) Error() string {
	var b strings.Builder
	if e.Line > 0 {
		fmt.Fprintf(&b, "line %d, column %d: ", e.Line, e.Col)
	}
	if e.Field != "" {
		b.WriteString(e.Field + ": ")
	}
	b.WriteString(e.Text)
	return b.String()
}

// valueKind is the type of a value in a document.
type valueKind uint8

const (
	null valueKind = iota
	boolean
	integer
	float
	text
	list
	object
)

var kindNames = [...]string{"null", "a boolean", "an integer", "a number", "a string", "a list", "an object"}

func (k valueKind) String() string { return kindNames[k] }

// value is a value in a document, with its position.
type value struct {
	kind      valueKind
	line, col int
	text      string   // of a scalar: its text; of a string: its content
	keys      []string // of an object: the names of its items, in the same order
	items     []*value
}

// parseDocument parses a document. syntax is "JSON" or "YAML"; if it is empty, a document
// that begins with a brace is JSON, and any other is YAML.
func parseDocument(data []byte, syntax string) (*value, error) {
	switch {
	case len(data) > MaxTextBytes:
		return nil, &Error{Text: fmt.Sprintf("%d bytes long, at most %d are taken", len(data), MaxTextBytes)}
	case !utf8.Valid(data):
		return nil, &Error{Text: "not UTF-8"}
	case syntax == "":
		syntax = "YAML"
		if t := bytes.TrimLeft(data, " \t\r\n"); len(t) > 0 && t[0] == '{' {
			syntax = "JSON"
		}
	}
	if syntax == "JSON" {
		return parseJSON(data)
	}
	return parseYAML(data)
}

// sizeLimiter rejects documents that are nested too deeply or have too many values.
type sizeLimiter struct{ values int }

// countValue counts a value. It returns an error if a limit is exceeded.
func (c *sizeLimiter) countValue(depth, line, col int) error {
	if c.values++; c.values > maxValues {
		return &Error{Line: line, Col: col, Text: fmt.Sprintf("more than %d values", maxValues)}
	}
	if depth > maxDepth {
		return &Error{Line: line, Col: col, Text: fmt.Sprintf("nested more than %d deep", maxDepth)}
	}
	return nil
}

// jsonReader reads a JSON document and tracks the position of its values.
type jsonReader struct {
	sizeLimiter
	data      []byte
	decoder   *json.Decoder
	line      int // line number at the offset scanned
	scanned   int // offset up to which lines were counted
	lineStart int // offset of the first byte of that line
}

func parseJSON(data []byte) (*value, error) {
	r := &jsonReader{data: data, decoder: json.NewDecoder(bytes.NewReader(data)), line: 1}
	r.decoder.UseNumber()
	v, err := r.readValue(0)
	if err == nil {
		if _, more := r.decoder.Token(); more != io.EOF {
			err = r.errorHere("something follows the document")
		}
	}
	return v, err
}

// position returns the line and column of the next token.
func (r *jsonReader) position() (line, col int) {
	off := int(r.decoder.InputOffset())
	for off < len(r.data) && strings.IndexByte(" \t\r\n,:", r.data[off]) >= 0 {
		off++
	}
	for ; r.scanned < off; r.scanned++ {
		if r.data[r.scanned] == '\n' {
			r.line, r.lineStart = r.line+1, r.scanned+1
		}
	}
	return r.line, off - r.lineStart + 1
}

func (r *jsonReader) errorHere(text string) error {
	line, col := r.position()
	return &Error{Line: line, Col: col, Text: text}
}

func (r *jsonReader) readValue(depth int) (*value, error) {
	line, col := r.position()
	if err := r.countValue(depth, line, col); err != nil {
		return nil, err
	}
	tok, err := r.decoder.Token()
	if err != nil {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			return nil, &Error{Line: line, Col: col, Text: syntax.Error()}
		}
		return nil, &Error{Line: line, Col: col, Text: "the document ends too early"}
	}
	v := &value{line: line, col: col}
	switch t := tok.(type) {
	case nil:
	case bool:
		v.kind, v.text = boolean, strconv.FormatBool(t)
	case json.Number:
		v.kind, v.text = numberKind(t.String()), t.String()
	case string:
		v.kind, v.text = text, t
	case json.Delim:
		v.kind = list
		if t == '{' {
			v.kind = object
		}
		for r.decoder.More() {
			if v.kind == object {
				kline, kcol := r.position()
				k, err := r.decoder.Token()
				key, ok := k.(string)
				if err != nil || !ok {
					return nil, &Error{Line: kline, Col: kcol, Text: "a name in quotes is expected"}
				}
				if err := v.addKey(key, kline, kcol); err != nil {
					return nil, err
				}
			}
			item, err := r.readValue(depth + 1)
			if err != nil {
				return nil, err
			}
			v.items = append(v.items, item)
		}
		if _, err := r.decoder.Token(); err != nil {
			return nil, r.errorHere("a list or an object is not closed")
		}
	}
	return v, nil
}

// addKey adds the name of an item of an object. A name that is given twice is an error.
func (v *value) addKey(key string, line, col int) error {
	for _, k := range v.keys {
		if k == key {
			return &Error{Line: line, Col: col, Field: key, Text: "given twice"}
		}
	}
	v.keys = append(v.keys, key)
	return nil
}

// numberKind tells integers from other numbers by their text.
func numberKind(s string) valueKind {
	if strings.ContainsAny(s, ".eE") {
		return float
	}
	return integer
}

func parseYAML(data []byte) (*value, error) {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	if err := dec.Decode(&doc); err != nil {
		if err == io.EOF {
			return nil, &Error{Text: "empty"}
		}
		return nil, yamlError(err)
	}
	var second yaml.Node
	if err := dec.Decode(&second); err != io.EOF {
		if err != nil {
			return nil, yamlError(err)
		}
		return nil, &Error{Line: second.Line, Col: second.Column, Text: "a second document"}
	}
	if doc.Kind != yaml.DocumentNode || len(doc.Content) != 1 {
		return nil, &Error{Text: "empty"}
	}
	var c sizeLimiter
	return c.fromYAML(doc.Content[0], 0)
}

// yamlError converts an error of the YAML library and takes the line out of its message.
func yamlError(err error) error {
	msg := strings.TrimPrefix(err.Error(), "yaml: ")
	e := &Error{Text: msg}
	if rest, ok := strings.CutPrefix(msg, "line "); ok {
		if num, text, ok := strings.Cut(rest, ": "); ok {
			if n, err := strconv.Atoi(num); err == nil {
				e.Line, e.Col, e.Text = n, 1, text
			}
		}
	}
	return e
}

func (c *sizeLimiter) fromYAML(n *yaml.Node, depth int) (*value, error) {
	if err := c.countValue(depth, n.Line, n.Column); err != nil {
		return nil, err
	}
	fail := func(s string) (*value, error) { return nil, &Error{Line: n.Line, Col: n.Column, Text: s} }
	v := &value{line: n.Line, col: n.Column}
	switch {
	case n.Kind == yaml.AliasNode || n.Anchor != "":
		return fail("anchors and aliases are not taken: write the value out")
	case n.Kind == yaml.ScalarNode:
		v.text = n.Value
		switch n.ShortTag() {
		case "!!null":
			v.text = ""
		case "!!bool":
			v.kind = boolean
		case "!!int":
			v.kind = integer
			if strings.Trim(strings.TrimLeft(n.Value, "+-"), "0123456789") != "" {
				return fail("integers are written in decimal: " + quoteClipped(n.Value))
			}
		case "!!float":
			v.kind = float
			if f, err := strconv.ParseFloat(n.Value, 64); err != nil || math.IsInf(f, 0) || math.IsNaN(f) {
				return fail("not a finite decimal number: " + quoteClipped(n.Value))
			}
		case "!!str", "!!timestamp":
			v.kind = text
		default:
			return fail("tags are not taken: " + quoteClipped(n.Tag))
		}
	case n.Kind == yaml.SequenceNode:
		v.kind = list
		for _, it := range n.Content {
			item, err := c.fromYAML(it, depth+1)
			if err != nil {
				return nil, err
			}
			v.items = append(v.items, item)
		}
	case n.Kind == yaml.MappingNode:
		v.kind = object
		for i := 0; i+1 < len(n.Content); i += 2 {
			k := n.Content[i]
			if k.Kind != yaml.ScalarNode || k.ShortTag() == "!!merge" || k.Anchor != "" {
				return nil, &Error{Line: k.Line, Col: k.Column, Text: "a plain name is expected (merge keys are not taken)"}
			}
			if err := v.addKey(k.Value, k.Line, k.Column); err != nil {
				return nil, err
			}
			item, err := c.fromYAML(n.Content[i+1], depth+1)
			if err != nil {
				return nil, err
			}
			v.items = append(v.items, item)
		}
	default:
		return fail("not understood")
	}
	return v, nil
}

// decoded converts the value to the types that encoding/json decodes into.
func (v *value) decoded() any {
	switch v.kind {
	case boolean:
		return v.text == "true"
	case integer, float:
		return json.Number(v.text)
	case text:
		return v.text
	case list:
		out := []any{}
		for _, it := range v.items {
			out = append(out, it.decoded())
		}
		return out
	case object:
		out := map[string]any{}
		for i, k := range v.keys {
			out[k] = v.items[i].decoded()
		}
		return out
	}
	return nil
}

// quoteClipped quotes a string for an error message and shortens it to 60 bytes.
func quoteClipped(s string) string {
	if len(s) > 60 {
		s = strings.ToValidUTF8(s[:60], "") + "..."
	}
	return strconv.Quote(s)
}
