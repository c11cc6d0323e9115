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

// Values of Class.Over: what happens to a ticket that requests more than its class
// allows.
const (
	ReduceExcess = "grant"  // grant what is allowed, and report that in the status
	RefuseExcess = "refuse" // refuse the ticket
)

// priorities are the priorities of jobs, the lowest first.
var priorities = []string{"best_effort", "standard", "high", "critical"}

// Class holds the limits and defaults for the tickets of a class. The fields have the names
// of the file's keys, since the errors about a wrong file name them.
type Class struct {
	Lot      string   `toml:"lot" json:"lot"`
	Urgency  string   `toml:"urgency" json:"urgency"`     // highest priority
	Shapes   []string `toml:"shapes" json:"shapes"`       // allowed shapes; the first is the default
	Over     string   `toml:"over" json:"over"`           // ReduceExcess or RefuseExcess
	Retries  int      `toml:"retries" json:"retries"`     // per task, after its first run
	Failed   int      `toml:"failed" json:"failed"`       // failed tasks before the ticket fails
	Tasks    int      `toml:"tasks" json:"tasks"`         // per ticket
	VCPUs    float64  `toml:"vcpus" json:"vcpus"`         // default for a task whose step has no value
	Cards    float64  `toml:"cards" json:"cards"`         // default for such a task
	MemGB    float64  `toml:"memGb" json:"memGb"`         // default for such a task
	Bundle   string   `toml:"bundle" json:"bundle"`       // default image
	SizeGB   float64  `toml:"sizeGb" json:"sizeGb"`       // size of the default image
	Loaners  bool     `toml:"loaners" json:"loaners"`     // default: whether tasks may run on spot machines
	ExpectS  float64  `toml:"expectS" json:"expectS"`     // default for the run time of a task
	MostVCPU float64  `toml:"mostVcpus" json:"mostVcpus"` // per task; 0: no limit
	MostGPU  float64  `toml:"mostCards" json:"mostCards"` // per task; 0: no limit
}

// ClassTable holds the classes by name.
type ClassTable map[string]Class

// MaxClasses limits the size of the table, which is one stored value.
const MaxClasses = 24

// ReadClasses reads the classes from a file such as deploy/tickets.toml.
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
	table := ClassTable{}
	for i, class := range file.Classes {
		class = class.withDefaults()
		if err := class.Validate(); err != nil {
			return nil, fmt.Errorf("%s: classes[%d].%w", path, i, err)
		}
		if _, exists := table[class.Lot]; exists {
			return nil, fmt.Errorf("%s: classes[%d].lot: %q is there twice", path, i, class.Lot)
		}
		table[class.Lot] = class
	}
	if len(table) == 0 || len(table) > MaxClasses {
		return nil, fmt.Errorf("%s: classes: %d of them, must be 1 to %d", path, len(table), MaxClasses)
	}
	return table, nil
}

// ParseClass parses the JSON of one class, as the administration API receives it.
func ParseClass(name string, data []byte) (Class, error) {
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	var class Class
	if err := decoder.Decode(&class); err != nil {
		return class, fmt.Errorf("class: %v", err)
	}
	if class.Lot == "" {
		class.Lot = name
	}
	if class.Lot != name {
		return class, fmt.Errorf("lot: %q is not the one that is set, %q", class.Lot, name)
	}
	class = class.withDefaults()
	return class, class.Validate()
}

// withDefaults returns the class with defaults for missing values.
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

// maxRetries is the highest retry limit of a class: the errors of a task are counted in one
// byte.
const maxRetries = 100

// Validate returns an error that names the first invalid field and its allowed values; nil
// if the class is valid.
func (c Class) Validate() error {
	switch {
	case c.Lot == "" || len(c.Lot) > 200 || strings.ContainsAny(c.Lot, "/ "):
		return errors.New("lot: must be 1 to 200 characters without / and space")
	case !slices.Contains(priorities, c.Urgency):
		return fmt.Errorf("urgency: must be one of %s", strings.Join(priorities, ", "))
	case len(c.Shapes) == 0 || slices.ContainsFunc(c.Shapes, func(s string) bool { return s != protocol.Array && s != protocol.Gang }):
		return fmt.Errorf("shapes: must be of %s, %s (a service is never done, so no step could follow it)", protocol.Array, protocol.Gang)
	case c.Over != ReduceExcess && c.Over != RefuseExcess:
		return fmt.Errorf("over: must be %s or %s", ReduceExcess, RefuseExcess)
	case len(c.Bundle) > 200:
		return errors.New("bundle: must be at most 200 characters")
	}
	for _, field := range []struct {
		name  string
		value float64
		limit float64
	}{{"retries", float64(c.Retries), maxRetries}, {"failed", float64(c.Failed), format.MaxTasks}, {"vcpus", c.VCPUs, 1e6}, {"cards", c.Cards, 1e6},
		{"memGb", c.MemGB, 1e6}, {"sizeGb", c.SizeGB, 1e6}, {"expectS", c.ExpectS, 1e9}, {"mostVcpus", c.MostVCPU, 1e6}, {"mostCards", c.MostGPU, 1e6}} {
		if !(field.value >= 0 && field.value <= field.limit) {
			return fmt.Errorf("%s: must be 0 to %g", field.name, field.limit)
		}
	}
	if c.Tasks < 1 || c.Tasks > format.MaxTasks {
		return fmt.Errorf("tasks: must be 1 to %d", format.MaxTasks)
	}
	return nil
}

// WithStored returns the table with the valid classes that operators have stored; they
// replace those of the same name.
func (t ClassTable) WithStored(stored ClassTable) ClassTable {
	out := ClassTable{}
	for name, class := range t {
		out[name] = class
	}
	for name, class := range stored {
		if class.Validate() == nil {
			out[name] = class
		}
	}
	return out
}

// Names returns the names of the classes in order.
func (t ClassTable) Names() []string {
	var names []string
	for name := range t {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
