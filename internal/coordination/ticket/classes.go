package ticket

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"dapplestage.example/dapplestage/internal/protocol"
	format "dapplestage.example/dapplestage/internal/protocol/ticket"
)

// What a class does with a ticket that asks for more than it allows.
const (
	ReduceExcess = "grant"  // give what is allowed, and say so
	RefuseExcess = "refuse" // refuse the ticket
)

// Urgencies, the least urgent first.
var urgencies = []string{"best_effort", "standard", "high", "critical"}

// Class says what tickets of a lot may have. Its fields bear the names of the
// submission's.
type Class struct {
	Lot      string   `toml:"lot" json:"lot"`
	Urgency  string   `toml:"urgency" json:"urgency"`     // the most urgent
	Shapes   []string `toml:"shapes" json:"shapes"`       // the first is what a ticket gets that asks for none
	Over     string   `toml:"over" json:"over"`           // grant or refuse
	Retries  int      `toml:"retries" json:"retries"`     // of a task, after its first run
	Failed   int      `toml:"failed" json:"failed"`       // tasks that a ticket may survive
	Tasks    int      `toml:"tasks" json:"tasks"`         // of a ticket
	VCPUs    float64  `toml:"vcpus" json:"vcpus"`         // of a task whose step says nothing
	Cards    float64  `toml:"cards" json:"cards"`         // of such a task
	MemGB    float64  `toml:"memGb" json:"memGb"`         // of such a task
	Bundle   string   `toml:"bundle" json:"bundle"`       // image of a ticket that names none
	SizeGB   float64  `toml:"sizeGb" json:"sizeGb"`       // its size
	Loaners  bool     `toml:"loaners" json:"loaners"`     // spot machines, unless the ticket says
	ExpectS  float64  `toml:"expectS" json:"expectS"`     // run time of a task, unless the ticket says
	MostVCPU float64  `toml:"mostVcpus" json:"mostVcpus"` // of a task; 0: any
	MostGPU  float64  `toml:"mostCards" json:"mostCards"` // of a task; 0: any
}

// ClassTable is the classes by lot.
type ClassTable map[string]Class

// MaxClasses bounds the table, which is one stored value.
const MaxClasses = 24

// ReadClasses reads the classes of a file such as deploy/tickets.toml.
func ReadClasses(path string) (ClassTable, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var file struct {
		Classes []Class `toml:"classes"`
	}
	if err := toml.Unmarshal(data, &file); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	t := ClassTable{}
	for i, c := range file.Classes {
		c = c.withDefaults()
		if err := c.Validate(); err != nil {
			return nil, fmt.Errorf("%s: classes[%d].%w", path, i, err)
		}
		if _, twice := t[c.Lot]; twice {
			return nil, fmt.Errorf("%s: classes[%d].lot: %q is there twice", path, i, c.Lot)
		}
		t[c.Lot] = c
	}
	if len(t) == 0 || len(t) > MaxClasses {
		return nil, fmt.Errorf("%s: classes: %d of them, must be 1 to %d", path, len(t), MaxClasses)
	}
	return t, nil
}

// ParseClass reads one class from JSON, as the administration API takes it.
func ParseClass(lot string, data []byte) (Class, error) {
	d := json.NewDecoder(strings.NewReader(string(data)))
	d.DisallowUnknownFields()
	var c Class
	if err := d.Decode(&c); err != nil {
		return c, fmt.Errorf("class: %v", err)
	}
	if c.Lot == "" {
		c.Lot = lot
	}
	if c.Lot != lot {
		return c, fmt.Errorf("lot: %q is not the one that is set, %q", c.Lot, lot)
	}
	c = c.withDefaults()
	return c, c.Validate()
}

// withDefaults gives what was left out its default.
func (c Class) withDefaults() Class {
	if c.Urgency == "" {
		c.Urgency = "standard"
	}
	if c.Shapes == nil {
		c.Shapes = []string{protocol.Array}
	}
	if c.Over == "" {
		c.Over = ReduceExcess
	}
	if c.Tasks == 0 {
		c.Tasks = format.MaxTasks
	}
	return c
}

// maxRetries bounds what a class may allow: a task's errors are counted in a byte.
const maxRetries = 100

// Validate says what is wrong with a class, field and bound named.
func (c Class) Validate() error {
	switch {
	case c.Lot == "" || len(c.Lot) > 200 || strings.ContainsAny(c.Lot, "/ "):
		return errors.New("lot: must be 1 to 200 characters without / and space")
	case !slices.Contains(urgencies, c.Urgency):
		return fmt.Errorf("urgency: must be one of %s", strings.Join(urgencies, ", "))
	case len(c.Shapes) == 0 || slices.ContainsFunc(c.Shapes, func(s string) bool { return s != protocol.Array && s != protocol.Gang }):
		return fmt.Errorf("shapes: must be of %s, %s (a service is never done, so no step could follow it)", protocol.Array, protocol.Gang)
	case c.Over != ReduceExcess && c.Over != RefuseExcess:
		return fmt.Errorf("over: must be %s or %s", ReduceExcess, RefuseExcess)
	case len(c.Bundle) > 200:
		return errors.New("bundle: must be at most 200 characters")
	}
	for _, f := range []struct {
		name string
		v    float64
		most float64
	}{{"retries", float64(c.Retries), maxRetries}, {"failed", float64(c.Failed), format.MaxTasks}, {"vcpus", c.VCPUs, 1e6}, {"cards", c.Cards, 1e6},
		{"memGb", c.MemGB, 1e6}, {"sizeGb", c.SizeGB, 1e6}, {"expectS", c.ExpectS, 1e9}, {"mostVcpus", c.MostVCPU, 1e6}, {"mostCards", c.MostGPU, 1e6}} {
		if !(f.v >= 0 && f.v <= f.most) {
			return fmt.Errorf("%s: must be 0 to %g", f.name, f.most)
		}
	}
	if c.Tasks < 1 || c.Tasks > format.MaxTasks {
		return fmt.Errorf("tasks: must be 1 to %d", format.MaxTasks)
	}
	return nil
}

// WithStored is a table with what operators stored put over it.
func (t ClassTable) WithStored(stored ClassTable) ClassTable {
	out := ClassTable{}
	for lot, c := range t {
		out[lot] = c
	}
	for lot, c := range stored {
		if c.Validate() == nil {
			out[lot] = c
		}
	}
	return out
}

// Names are the names of the classes in order.
func (t ClassTable) Names() []string {
	var out []string
	for lot := range t {
		out = append(out, lot)
	}
	slices.Sort(out)
	return out
}
