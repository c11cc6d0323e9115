package ticket

import (
	"fmt"
	"sync"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// combineExpr is the grammar of a combination expression, such as "A * (B, C)". A
// product takes all combinations of its factors, the last factor varying fastest. The
// expressions in parentheses are paired value by value. Syntax errors show the names of the
// grammar's types to users.
type combineExpr struct {
	Product []*combineTerm `parser:"@@ ('*' @@)*"`
}

// combineTerm is a factor of a product: a parameter or a group of expressions.
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

// parseCombination parses a combination expression.
func parseCombination(s string) (*combineExpr, error) {
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

// names appends the names of the parameters in the expression to into, in order of
// appearance.
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

// axis is a task parameter with all of its values.
type axis struct {
	name, typ string
	ints      intRange // of an INT
	list      []string // of any other type
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

// combination is a node of the tree that combines the axes: one axis, a product, or a group.
type combination struct {
	axis     int // of a leaf
	product  bool
	children []*combination
	count    int
}

// TaskSpace maps the number of a task of a step to the task's parameters. It computes them on
// request and stores no tasks.
type TaskSpace struct {
	axes []*axis
	root *combination // nil: one task without parameters
}

// Binding is a parameter of one task with its value.
type Binding struct {
	Name  string `json:"name"`
	Type  string `json:"type"`
	Value string `json:"value"`
}

// Len returns the number of tasks.
func (s *TaskSpace) Len() int {
	if s == nil || s.root == nil {
		return 1
	}
	return s.root.count
}

// At returns the parameters of one task, in the order of their definitions.
func (s *TaskSpace) At(task int) []Binding {
	if s == nil || s.root == nil || task < 0 || task >= s.Len() {
		return nil
	}
	indexes := make([]int, len(s.axes))
	s.root.selectValues(task, indexes)
	out := make([]Binding, len(s.axes))
	for i, a := range s.axes {
		out[i] = Binding{a.name, a.typ, a.at(indexes[i])}
	}
	return out
}

// selectValues sets the value index of each axis for the i-th combination.
func (c *combination) selectValues(i int, indexes []int) {
	switch {
	case c.children == nil:
		indexes[c.axis] = i
	case c.product:
		for k := len(c.children) - 1; k >= 0; k-- {
			child := c.children[k]
			child.selectValues(i%child.count, indexes)
			i /= child.count
		}
	default:
		for _, child := range c.children {
			child.selectValues(i, indexes)
		}
	}
}

// newSpace combines axes by an expression; without one, it takes their product.
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
	s.root, err = s.combine(expr, byName)
	return s, err
}

// combine returns the combination of an expression. byName are the indices of the axes.
func (s *TaskSpace) combine(e *combineExpr, byName map[string]int) (*combination, error) {
	product := &combination{product: true, count: 1}
	for _, t := range e.Product {
		child, err := s.combineFactor(t, byName)
		if err != nil {
			return nil, err
		}
		// Both are at most MaxTasks, so their product can't overflow.
		if product.count *= child.count; product.count > MaxTasks {
			return nil, fmt.Errorf("more than %d tasks", MaxTasks)
		}
		product.children = append(product.children, child)
	}
	if len(product.children) == 1 {
		return product.children[0], nil
	}
	return product, nil
}

func (s *TaskSpace) combineFactor(t *combineTerm, byName map[string]int) (*combination, error) {
	if t.Group == nil {
		i := byName[t.Name]
		return &combination{axis: i, count: s.axes[i].len()}, nil
	}
	group := &combination{}
	for _, g := range t.Group {
		child, err := s.combine(g, byName)
		if err != nil {
			return nil, err
		}
		if group.children != nil && child.count != group.count {
			return nil, fmt.Errorf("what goes together in parentheses must have the same number of values, not %d and %d", group.count, child.count)
		}
		group.count = child.count
		group.children = append(group.children, child)
	}
	return group, nil
}
