package ticket

import (
	"fmt"
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The grammar of a combination expression: "A * (B, C)". A product runs through all
// combinations, the last one fastest; in parentheses values go together, one by one.
type combineExpr struct {
	Product []*combineTerm `parser:"@@ ('*' @@)*"`
}

type combineTerm struct {
	Name  string         `parser:"  @Ident"`
	Group []*combineExpr `parser:"| '(' @@ (',' @@)* ')'"`
}

var combineParser = sync.OnceValue(func() *participle.Parser[combineExpr] {
	return participle.MustBuild[combineExpr](participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
		{Name: "Ident", Pattern: `[A-Za-z_][A-Za-z0-9_]*`},
		{Name: "Mark", Pattern: `[*(),]`},
		{Name: "space", Pattern: `[ \t]+`},
	})))
})

// parseCombine reads a combination expression.
func parseCombine(s string) (*combineExpr, error) {
	if len(s) > 1280 {
		return nil, fmt.Errorf("%d characters, at most 1280 are taken", len(s))
	}
	depth := 0
	for _, c := range s {
		if c == '(' {
			depth++
		}
		if depth > maxDepth {
			return nil, fmt.Errorf("nested more than %d deep", maxDepth)
		}
		if c == ')' {
			depth--
		}
	}
	e, err := combineParser().ParseString("", s)
	if err != nil {
		return nil, fmt.Errorf("%s: %v", quoteClipped(s), parseErrorText(err))
	}
	return e, nil
}

// names are the parameters in an expression, in its order.
func (e *combineExpr) names(into []string) []string {
	for _, t := range e.Product {
		if t.Group == nil {
			into = append(into, t.Name)
		}
		for _, g := range t.Group {
			into = g.names(into)
		}
	}
	return into
}

// axis is a task parameter with its values.
type axis struct {
	name, typ string
	ints      intRange // of an INT
	list      []string // of all others
}

func (a *axis) len() int {
	if a.typ == "INT" {
		return a.ints.len()
	}
	return len(a.list)
}

func (a *axis) at(i int) string {
	if a.typ == "INT" {
		return fmt.Sprint(a.ints.at(i))
	}
	return a.list[i]
}

// combination says how axes are combined: one of them, a product, or a group.
type combination struct {
	axis    int // of a leaf
	product bool
	kids    []*combination
	count   int
}

// TaskSpace is the parameters of a step's tasks, by the task's number. It holds no task.
type TaskSpace struct {
	axes []*axis
	root *combination // nil: one task without parameters
}

// Binding is a parameter of one task.
type Binding struct {
	Name  string `json:"name"`
	Type  string `json:"type"`
	Value string `json:"value"`
}

// Len is the number of tasks.
func (s *TaskSpace) Len() int {
	if s == nil || s.root == nil {
		return 1
	}
	return s.root.count
}

// At is the parameters of one task, in the order of the definitions.
func (s *TaskSpace) At(task int) []Binding {
	if s == nil || s.root == nil || task < 0 || task >= s.Len() {
		return nil
	}
	at := make([]int, len(s.axes))
	s.root.pick(task, at)
	out := make([]Binding, len(s.axes))
	for i, a := range s.axes {
		out[i] = Binding{a.name, a.typ, a.at(at[i])}
	}
	return out
}

func (sh *combination) pick(i int, at []int) {
	switch {
	case sh.kids == nil:
		at[sh.axis] = i
	case sh.product:
		for k := len(sh.kids) - 1; k >= 0; k-- {
			kid := sh.kids[k]
			kid.pick(i%kid.count, at)
			i /= kid.count
		}
	default:
		for _, kid := range sh.kids {
			kid.pick(i, at)
		}
	}
}

// newSpace combines axes as an expression says; without one, as their product.
func newSpace(axes []*axis, expr *combineExpr) (*TaskSpace, error) {
	if expr == nil {
		expr = &combineExpr{}
		for _, a := range axes {
			expr.Product = append(expr.Product, &combineTerm{Name: a.name})
		}
	}
	byName := map[string]int{}
	for i, a := range axes {
		byName[a.name] = i
	}
	s := &TaskSpace{axes: axes}
	var err error
	s.root, err = s.shape(expr, byName)
	return s, err
}

func (s *TaskSpace) shape(e *combineExpr, byName map[string]int) (*combination, error) {
	sh := &combination{product: true, count: 1}
	for _, t := range e.Product {
		kid, err := s.term(t, byName)
		if err != nil {
			return nil, err
		}
		// Both are at most MaxTasks, so their product can't overflow.
		if sh.count *= kid.count; sh.count > MaxTasks {
			return nil, fmt.Errorf("more than %d tasks", MaxTasks)
		}
		sh.kids = append(sh.kids, kid)
	}
	if len(sh.kids) == 1 {
		return sh.kids[0], nil
	}
	return sh, nil
}

func (s *TaskSpace) term(t *combineTerm, byName map[string]int) (*combination, error) {
	if t.Group == nil {
		i := byName[t.Name]
		return &combination{axis: i, count: s.axes[i].len()}, nil
	}
	sh := &combination{}
	for _, g := range t.Group {
		kid, err := s.shape(g, byName)
		if err != nil {
			return nil, err
		}
		if sh.kids != nil && kid.count != sh.count {
			return nil, fmt.Errorf("what goes together in parentheses must have the same number of values, not %d and %d", sh.count, kid.count)
		}
		sh.count = kid.count
		sh.kids = append(sh.kids, kid)
	}
	return sh, nil
}
