package ticket

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/big"
	"strconv"

	"dapplestage.example/dapplestage/internal/protocol"
)

// Submission is a ticket as it was submitted, by either path.
type Submission struct {
	ID       string
	Class    string
	Team     string
	Shape    string // empty: the class's
	Priority string // empty: by Priority, or the class's
	// What each task takes where its step does not say; nil: the class's.
	CPUs, GPUs, MemoryGB   *float64
	Image                  string // empty: the class's, with its size
	ImageGB                *float64
	Types                  []string
	Zone                   string
	OneZone, Spread        bool
	Spot                   *bool
	EstimateS, CheckpointS float64
	SaveS                  float64
	DeadlineS              *float64

	Template       *Template
	Args           Args
	TicketPriority *int // 0 to 100
	MaxRetries     *int // of a task, after its first run
	MaxFailedTasks *int // that the ticket survives
	Tasks          *int // in an ordinary submission: must be the ticket's tasks
}

// mostAsked bounds the numbers that may be asked for; what is granted is the class's
// matter.
const mostAsked = 1<<31 - 1

// ParseTicket reads the body of POST /tickets. Fields that are not known are refused.
func ParseTicket(body []byte) (*Submission, error) { return parse(body, false) }

// ParseEmbedded reads an ordinary submission that carries a ticket in its field
// ticket. As in any ordinary submission, fields that are not known are ignored; in
// the ticket they are refused.
func ParseEmbedded(body []byte) (*Submission, error) { return parse(body, true) }

func parse(body []byte, carried bool) (*Submission, error) {
	if len(body) > protocol.MaxBodyBytes {
		return nil, &Error{Text: "body over 64 KiB"}
	}
	r := &documentReader{params: map[string]string{}}
	doc, err := parseJSON(body)
	if err == nil && doc.kind != object {
		err = &Error{Line: doc.line, Col: doc.col, Text: "not a JSON object"}
	}
	if err != nil {
		return nil, err
	}
	s := &Submission{}
	f := r.object(doc, "")
	t := f
	s.readJob(r, f, carried)
	if carried {
		v, path := f.require("ticket")
		if v.kind != null {
			t = r.object(v, path)
		}
	} else if v, path := f.get("clientToken"); v != nil {
		token := r.str(v, path, 1, 64, false)
		if s.ID != "" {
			r.fail(v, path, "id and clientToken can't both be given")
		} else if s.Team != "" {
			s.ID = TokenTicketID(s.Team, token)
		}
	}
	s.readTicket(r, t)
	if r.err == nil && s.ID == "" {
		r.fail(doc, "id", "is missing")
	}
	if !carried {
		f.rejectUnknown()
	} else if t != f {
		t.rejectUnknown()
	}
	if r.err != nil {
		return nil, r.err
	}
	return s, nil
}

// readJob reads the fields that an ordinary submission has too, under their names
// there.
func (s *Submission) readJob(r *documentReader, f *objectFields, carried bool) {
	if v, path := f.get("id"); v != nil {
		if s.ID = r.str(v, path, 1, 40, false); !protocol.ValidJobID(s.ID) {
			r.fail(v, path, "must be job- and 1 to 32 digits")
		}
	}
	s.Class, s.Team, s.Image, s.Zone = f.label("lot", true), f.label("crew", true), f.label("bundle", false), f.label("region", false)
	s.Shape = f.oneOf("shape", "", protocol.Array, protocol.Gang, protocol.Service)
	s.Priority = f.oneOf("urgency", "", "critical", "high", "standard", "best_effort")
	s.CPUs, s.GPUs, s.MemoryGB, s.ImageGB = f.optAmount("vcpus"), f.optAmount("cards"), f.optAmount("memGb"), f.optAmount("sizeGb")
	if s.Image != "" && s.ImageGB == nil {
		r.fail(f.object, "sizeGb", "is missing beside bundle")
	} else if s.Image == "" && s.ImageGB != nil {
		r.fail(f.object, "bundle", "is missing beside sizeGb")
	}
	s.OneZone, s.Spread, s.Spot = orZero(f.optBool("together")), orZero(f.optBool("scatter")), f.optBool("loaners")
	s.EstimateS, s.CheckpointS, s.SaveS, s.DeadlineS = orZero(f.optAmount("expectS")), orZero(f.optAmount("snapshotS")), orZero(f.optAmount("storeS")), f.optAmount("dueS")
	if v, path := f.get("builds"); v != nil {
		for i, it := range r.list(v, path, 1, 64) {
			s.Types = append(s.Types, r.str(it, itemPath(path, i), 1, 64, false))
		}
	}
	if carried {
		s.Tasks = f.optInt("pieces", 1, MaxTasks)
	}
}

// label reads a short text.
func (f *objectFields) label(field string, needed bool) string {
	v, path := f.get(field)
	switch {
	case v != nil:
		return f.reader.str(v, path, 1, 200, false)
	case needed:
		f.reader.fail(f.object, path, "is missing")
	}
	return ""
}

// optAmount reads a number that is not negative; nil if it is not given.
func (f *objectFields) optAmount(field string) *float64 {
	v, path := f.get(field)
	if v == nil {
		return nil
	}
	x, err := strconv.ParseFloat(v.text, 64)
	if v.kind != integer && v.kind != float || err != nil || !(x >= 0) || x > 1e9 || math.IsInf(x, 0) {
		f.reader.fail(v, path, "must be a number from 0 to 1000000000")
	}
	return &x
}

// optBool reads true or false; nil if it is not given.
func (f *objectFields) optBool(field string) *bool {
	v, path := f.get(field)
	if v == nil {
		return nil
	}
	if v.kind != boolean {
		f.reader.fail(v, path, "must be true or false")
	}
	b := v.text == "true"
	return &b
}

// orZero is what p points to, or the zero value for nil.
func orZero[T any](p *T) (v T) {
	if p != nil {
		v = *p
	}
	return v
}

// readTicket reads the template and what users know from submitting one.
func (s *Submission) readTicket(r *documentReader, f *objectFields) {
	form := f.oneOf("templateType", "", "JSON", "YAML")
	if v, path := f.require("template"); v.kind != null {
		var err error
		switch v.kind {
		case text:
			if v, err = parseDocument([]byte(v.text), form); err == nil {
				s.Template, err = parseTemplateValue(v, "")
			}
			if e, ok := err.(*Error); ok && r.err == nil {
				e.Field = joinPath(path, e.Field)
				r.err = e
			}
		case object:
			if form == "YAML" {
				r.fail(v, path, "a YAML template is given as a string")
			}
			if s.Template, err = parseTemplateValue(v, path); err != nil && r.err == nil {
				r.err = err.(*Error)
			}
		default:
			r.fail(v, path, "must be an object or a string, not %s", v.kind)
		}
	}
	s.Args = Args{}
	if v, path := f.get("parameters"); v != nil {
		r.object(v, path)
		for i, name := range v.keys {
			it := v.items[i]
			// Both 5 and {"int":"5"} are known to users.
			if it.kind == object && len(it.keys) == 1 && (it.keys[0] == "int" || it.keys[0] == "float" || it.keys[0] == "string" || it.keys[0] == "path") {
				it = it.items[0]
			}
			if it.kind != integer && it.kind != float && it.kind != text {
				r.fail(it, joinPath(path, name), "must be a number or a string, not %s", it.kind)
			}
			s.Args[name] = it.text
		}
	}
	s.TicketPriority = f.optInt("priority", 0, 100)
	s.MaxRetries = f.optInt("maxRetriesPerTask", 0, mostAsked)
	s.MaxFailedTasks = f.optInt("maxFailedTasksCount", 0, mostAsked)
	f.oneOf("targetTaskRunStatus", "READY", "READY") // a ticket can't be held
}

// digits makes an id of what names it: the same for the same parts, at any node.
func digits(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	n := new(big.Int).SetBytes(h.Sum(nil))
	n.Mod(n, new(big.Int).Exp(big.NewInt(10), big.NewInt(30), nil))
	return fmt.Sprintf("job-%030d", n)
}

// TokenTicketID is the id of a ticket that a team submits under a token of its client.
func TokenTicketID(crew, token string) string { return digits("ticket", crew, token) }

// StepJobID is the id of the job of a ticket's step. Users upload its description under
// it before they submit the ticket.
func StepJobID(ticket string, step int) string { return digits("step", ticket, strconv.Itoa(step)) }

// StoredTicket is what is kept of a ticket beside its record, so that any node can tell
// the parameters of its tasks.
type StoredTicket struct {
	Template json.RawMessage `json:"template"`
	Args     Args            `json:"args"`
}

// Pack makes a ticket's template and arguments small.
func (s *Submission) Pack() ([]byte, error) {
	tmpl, err := s.Template.EncodeJSON()
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(StoredTicket{tmpl, s.Args})
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestCompression)
	if err != nil {
		return nil, err
	}
	w.Write(data)
	err = w.Close()
	return b.Bytes(), err
}

// Unpack expands what Pack made.
func Unpack(packed []byte) (*Template, *Plan, error) {
	const most = 8 * MaxTextBytes
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), most))
	var s StoredTicket
	if err == nil {
		err = json.Unmarshal(data, &s)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("stored ticket: %w", err)
	}
	v, err := parseJSON(s.Template)
	if err != nil {
		return nil, nil, err
	}
	t, err := parseTemplateValue(v, "")
	if err != nil {
		return nil, nil, err
	}
	p, err := t.Expand(s.Args)
	return t, p, err
}
