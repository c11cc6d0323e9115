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

// Submission is a ticket as it was submitted: by itself, or embedded in an ordinary job
// submission.
type Submission struct {
	ID       string
	Class    string
	Team     string
	Shape    string // empty: the class's default
	Priority string // empty: derived from TicketPriority, or the class's default
	// Resources of a task unless its step gives them; nil: the class's.
	CPUs, GPUs, MemoryGB   *float64
	Image                  string // empty: the class's image and size
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
	TicketPriority *int // 0 to 100, as render farms use
	MaxRetries     *int // of a task, not counting its first run
	MaxFailedTasks *int // number of failed tasks that the ticket tolerates
	Tasks          *int // in an ordinary submission: must equal the ticket's number of tasks
}

// maxRequested is the maximum of the numbers in a request. The class decides which values
// are granted.
const maxRequested = 1<<31 - 1

// ParseTicket parses the body of POST /tickets. Unknown fields are rejected.
func ParseTicket(body []byte) (*Submission, error) { return parseSubmission(body, false) }

// ParseEmbedded parses an ordinary job submission that embeds a ticket in its field
// ticket. Unknown fields of the submission are ignored, as in any ordinary submission;
// unknown fields of the ticket are rejected.
func ParseEmbedded(body []byte) (*Submission, error) { return parseSubmission(body, true) }

func parseSubmission(body []byte, embedded bool) (*Submission, error) {
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
	jobFields := r.object(doc, "")
	ticketFields := jobFields
	s.readJobFields(r, jobFields, embedded)
	if embedded {
		v, path := jobFields.require("ticket")
		if v.kind != null {
			ticketFields = r.object(v, path)
		}
	} else if v, path := jobFields.get("clientToken"); v != nil {
		token := r.stringValue(v, path, 1, 64, false)
		if s.ID != "" {
			r.fail(v, path, "id and clientToken can't both be given")
		} else if s.Team != "" {
			s.ID = TokenTicketID(s.Team, token)
		}
	}
	s.readTicketFields(r, ticketFields)
	if r.err == nil && s.ID == "" {
		r.fail(doc, "id", "is missing")
	}
	if !embedded {
		jobFields.rejectUnknown()
	} else if ticketFields != jobFields {
		ticketFields.rejectUnknown()
	}
	if r.err != nil {
		return nil, r.err
	}
	return s, nil
}

// readJobFields reads the fields that an ordinary job submission has too, under the same
// names.
func (s *Submission) readJobFields(r *documentReader, f *objectFields, embedded bool) {
	if v, path := f.get("id"); v != nil {
		if s.ID = r.stringValue(v, path, 1, 40, false); !protocol.ValidJobID(s.ID) {
			r.fail(v, path, "must be job- and 1 to 32 digits")
		}
	}
	s.Class, s.Team, s.Image, s.Zone = f.optLabel("lot", true), f.optLabel("crew", true), f.optLabel("bundle", false), f.optLabel("region", false)
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
		for i, it := range r.listItems(v, path, 1, 64) {
			s.Types = append(s.Types, r.stringValue(it, itemPath(path, i), 1, 64, false))
		}
	}
	if embedded {
		s.Tasks = f.optInt("pieces", 1, MaxTasks)
	}
}

// optLabel reads a short string; empty if it is not given and not required.
func (f *objectFields) optLabel(field string, required bool) string {
	v, path := f.get(field)
	switch {
	case v != nil:
		return f.reader.stringValue(v, path, 1, 200, false)
	case required:
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

// orZero returns the value that p points to, or the zero value if p is nil.
func orZero[T any](p *T) (v T) {
	if p != nil {
		v = *p
	}
	return v
}

// readTicketFields reads the template and the fields that users know from submitting a
// template to a render farm.
func (s *Submission) readTicketFields(r *documentReader, f *objectFields) {
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
			// Clients send both 5 and {"int":"5"}.
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
	s.MaxRetries = f.optInt("maxRetriesPerTask", 0, maxRequested)
	s.MaxFailedTasks = f.optInt("maxFailedTasksCount", 0, maxRequested)
	f.oneOf("targetTaskRunStatus", "READY", "READY") // a ticket can't be submitted in a suspended state
}

// derivedJobID returns a job id derived from parts. It is the same for the same parts at any
// node.
func derivedJobID(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	n := new(big.Int).SetBytes(h.Sum(nil))
	n.Mod(n, new(big.Int).Exp(big.NewInt(10), big.NewInt(30), nil))
	return fmt.Sprintf("job-%030d", n)
}

// TokenTicketID returns the id of a ticket that a team submits with a client token.
func TokenTicketID(team, token string) string { return derivedJobID("ticket", team, token) }

// StepJobID returns the id of the job that runs a step of a ticket. Users upload the
// step's description under this id before they submit the ticket.
func StepJobID(ticket string, step int) string {
	return derivedJobID("step", ticket, strconv.Itoa(step))
}

// StoredTicket is stored in addition to a ticket's record, so that any node can compute the
// parameters of the ticket's tasks.
type StoredTicket struct {
	Template json.RawMessage `json:"template"`
	Args     Args            `json:"args"`
}

// Pack encodes and compresses the ticket's template and arguments as a StoredTicket.
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

// Unpack decodes the result of Pack and expands the template. Larger data than 8 times
// MaxTextBytes is truncated, and then rejected as malformed.
func Unpack(packed []byte) (*Template, *Plan, error) {
	const maxBytes = 8 * MaxTextBytes
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxBytes))
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
