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
	Name           string   `toml:"lot" json:"lot"`
	MaxUrgency     string   `toml:"urgency" json:"urgency"`     // the most urgent
	Shapes         []string `toml:"shapes" json:"shapes"`       // the first is what a ticket gets that asks for none
	OnExcess       string   `toml:"over" json:"over"`           // grant or refuse
	MaxRetries     int      `toml:"retries" json:"retries"`     // of a task, after its first run
	MaxFailedTasks int      `toml:"failed" json:"failed"`       // tasks that a ticket may survive
	MaxTasks       int      `toml:"tasks" json:"tasks"`         // of a ticket
	CPUs           float64  `toml:"vcpus" json:"vcpus"`         // of a task whose step says nothing
	GPUs           float64  `toml:"cards" json:"cards"`         // of such a task
	MemoryGB       float64  `toml:"memGb" json:"memGb"`         // of such a task
	Image          string   `toml:"bundle" json:"bundle"`       // image of a ticket that names none
	ImageGB        float64  `toml:"sizeGb" json:"sizeGb"`       // its size
	Spot           bool     `toml:"loaners" json:"loaners"`     // spot machines, unless the ticket says
	EstimateS      float64  `toml:"expectS" json:"expectS"`     // run time of a task, unless the ticket says
	MaxCPUs        float64  `toml:"mostVcpus" json:"mostVcpus"` // of a task; 0: any
	MaxGPUs        float64  `toml:"mostCards" json:"mostCards"` // of a task; 0: any
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
	table := ClassTable{}
	for i, class := range file.Classes {
		class = class.withDefaults()
		if err := class.Validate(); err != nil {
			return nil, fmt.Errorf("%s: classes[%d].%w", path, i, err)
		}
		if _, exists := table[class.Name]; exists {
			return nil, fmt.Errorf("%s: classes[%d].lot: %q is there twice", path, i, class.Name)
		}
		table[class.Name] = class
	}
	if len(table) == 0 || len(table) > MaxClasses {
		return nil, fmt.Errorf("%s: classes: %d of them, must be 1 to %d", path, len(table), MaxClasses)
	}
	return table, nil
}

// ParseClass reads one class from JSON, as the administration API takes it.
func ParseClass(lot string, data []byte) (Class, error) {
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	var class Class
	if err := decoder.Decode(&class); err != nil {
		return class, fmt.Errorf("class: %v", err)
	}
	if class.Name == "" {
		class.Name = lot
	}
	if class.Name != lot {
		return class, fmt.Errorf("lot: %q is not the one that is set, %q", class.Name, lot)
	}
	class = class.withDefaults()
	return class, class.Validate()
}

// withDefaults gives what was left out its default.
func (c Class) withDefaults() Class {
	if c.MaxUrgency == "" {
		c.MaxUrgency = "standard"
	}
	if c.Shapes == nil {
		c.Shapes = []string{protocol.Array}
	}
	if c.OnExcess == "" {
		c.OnExcess = ReduceExcess
	}
	if c.MaxTasks == 0 {
		c.MaxTasks = format.MaxTasks
	}
	return c
}

// maxRetries bounds what a class may allow: a task's errors are counted in a byte.
const maxRetries = 100

// Validate says what is wrong with a class, field and bound named.
func (c Class) Validate() error {
	switch {
	case c.Name == "" || len(c.Name) > 200 || strings.ContainsAny(c.Name, "/ "):
		return errors.New("lot: must be 1 to 200 characters without / and space")
	case !slices.Contains(urgencies, c.MaxUrgency):
		return fmt.Errorf("urgency: must be one of %s", strings.Join(urgencies, ", "))
	case len(c.Shapes) == 0 || slices.ContainsFunc(c.Shapes, func(s string) bool { return s != protocol.Array && s != protocol.Gang }):
		return fmt.Errorf("shapes: must be of %s, %s (a service is never done, so no step could follow it)", protocol.Array, protocol.Gang)
	case c.OnExcess != ReduceExcess && c.OnExcess != RefuseExcess:
		return fmt.Errorf("over: must be %s or %s", ReduceExcess, RefuseExcess)
	case len(c.Image) > 200:
		return errors.New("bundle: must be at most 200 characters")
	}
	for _, field := range []struct {
		name string
		v    float64
		most float64
	}{{"retries", float64(c.MaxRetries), maxRetries}, {"failed", float64(c.MaxFailedTasks), format.MaxTasks}, {"vcpus", c.CPUs, 1e6}, {"cards", c.GPUs, 1e6},
		{"memGb", c.MemoryGB, 1e6}, {"sizeGb", c.ImageGB, 1e6}, {"expectS", c.EstimateS, 1e9}, {"mostVcpus", c.MaxCPUs, 1e6}, {"mostCards", c.MaxGPUs, 1e6}} {
		if !(field.v >= 0 && field.v <= field.most) {
			return fmt.Errorf("%s: must be 0 to %g", field.name, field.most)
		}
	}
	if c.MaxTasks < 1 || c.MaxTasks > format.MaxTasks {
		return fmt.Errorf("tasks: must be 1 to %d", format.MaxTasks)
	}
	return nil
}

// WithStored is a table with what operators stored put over it.
func (t ClassTable) WithStored(stored ClassTable) ClassTable {
	out := ClassTable{}
	for lot, class := range t {
		out[lot] = class
	}
	for lot, class := range stored {
		if class.Validate() == nil {
			out[lot] = class
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
