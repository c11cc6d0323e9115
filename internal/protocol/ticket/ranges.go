package ticket

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"sync"

	"github.com/RoaringBitmap/roaring/v2/roaring64"
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// MaxTasks is the maximum number of tasks of a step and of a ticket.
const MaxTasks = 100000

// rangeExpr is the grammar of a range expression: "1-100:2", "3,7-9", "-5--1", "10-1:-1".
type rangeExpr struct {
	Parts []*rangePart `parser:"@@ (',' @@)*"`
}

type rangePart struct {
	Pos  lexer.Position
	From string  `parser:"@Int"`
	To   *string `parser:"('-' @Int"`
	Step *string `parser:"(':' @Int)?)?"`
}

// rangeLexer distinguishes the minus sign of a number from the dash between two numbers: a
// minus after a number is a dash.
var rangeLexer = lexer.MustStateful(lexer.Rules{
	"Root": {
		{Name: "space", Pattern: `[ \t]+`},
		{Name: "Int", Pattern: `-?[0-9]+`, Action: lexer.Push("After")},
	},
	"After": { // after a number a minus is a dash
		{Name: "space", Pattern: `[ \t]+`},
		{Name: "Dash", Pattern: `-`, Action: lexer.Pop()},
		{Name: "Mark", Pattern: `[,:]`, Action: lexer.Pop()},
	},
})

var rangeParser = sync.OnceValue(func() *participle.Parser[rangeExpr] {
	return participle.MustBuild[rangeExpr](participle.Lexer(rangeLexer))
})

// sequence is an arithmetic sequence of integers.
type sequence struct {
	from, step int64
	count      int
}

func (r sequence) at(i int) int64 { return r.from + int64(i)*r.step }

// intRange is the values of an integer range, as sequences that are never expanded.
type intRange []sequence

// parseRange parses a range expression. The result has at most MaxTasks values, whatever
// the bounds in the expression.
func parseRange(s string) (intRange, error) {
	if len(s) > 4096 {
		return nil, fmt.Errorf("a range expression of %d characters, at most 4096 are taken", len(s))
	}
	e, err := rangeParser().ParseString("", s)
	if err != nil {
		return nil, fmt.Errorf("range expression %s: %v", quoteClipped(s), parseErrorText(err))
	}
	var out intRange
	total := 0
	for _, p := range e.Parts {
		r, err := p.sequence()
		if err != nil {
			return nil, fmt.Errorf("range expression %s: %v", quoteClipped(s), err)
		}
		if total += r.count; r.count > MaxTasks || total > MaxTasks {
			return nil, fmt.Errorf("range expression %s: more than %d values", quoteClipped(s), MaxTasks)
		}
		out = append(out, r)
	}
	if a, twice := out.findDuplicate(); twice {
		return nil, fmt.Errorf("range expression %s: %d is in it twice", quoteClipped(s), a)
	}
	return out, nil
}

// parseErrorText returns the text of a parser error with its column, without the file name,
// which is empty.
func parseErrorText(err error) string {
	if pe, ok := err.(participle.Error); ok {
		return fmt.Sprintf("column %d: %s", pe.Position().Column, pe.Message())
	}
	return err.Error()
}

func (p *rangePart) sequence() (sequence, error) {
	from, err := parseInt(p.From)
	if err != nil || p.To == nil {
		return sequence{from, 1, 1}, err
	}
	to, err := parseInt(*p.To)
	if err != nil {
		return sequence{}, err
	}
	step := int64(1)
	if p.Step != nil {
		if step, err = parseInt(*p.Step); err != nil {
			return sequence{}, err
		}
	}
	switch {
	case step == 0:
		return sequence{}, fmt.Errorf("a step of 0")
	case from < to && step < 0, from > to && step > 0:
		return sequence{}, fmt.Errorf("from %d to %d with a step of %d is empty", from, to, step)
	}
	// The difference of two int64 fits a uint64, and so does the absolute value of a step.
	dist, size := uint64(to)-uint64(from), uint64(step)
	if from > to {
		dist = uint64(from) - uint64(to)
	}
	if step < 0 {
		size = uint64(-(step + 1)) + 1
	}
	count := dist / size
	if count >= MaxTasks {
		return sequence{}, fmt.Errorf("more than %d values", MaxTasks)
	}
	return sequence{from, step, int(count) + 1}, nil
}

func parseInt(s string) (int64, error) {
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s is not within %d to %d", quoteClipped(s), int64(math.MinInt64), int64(math.MaxInt64))
	}
	return v, nil
}

func (r intRange) len() int {
	n := 0
	for _, p := range r {
		n += p.count
	}
	return n
}

func (r intRange) at(i int) int64 {
	for _, p := range r {
		if i < p.count {
			return p.at(i)
		}
		i -= p.count
	}
	panic("ticket: index out of range")
}

// findDuplicate returns a value that is in two sequences of a range, if there is one.
// Sequences whose bounds don't overlap are not enumerated.
func (r intRange) findDuplicate() (int64, bool) {
	type span struct {
		lo, hi int64
		sequence
	}
	spans := make([]span, len(r))
	for i, p := range r {
		spans[i] = span{min(p.at(0), p.at(p.count-1)), max(p.at(0), p.at(p.count-1)), p}
	}
	slices.SortFunc(spans, func(a, b span) int {
		if a.lo < b.lo {
			return -1
		}
		return 1
	})
	seen := roaring64.New()
	maxCovered, seenFilled := int64(math.MinInt64), false
	var overlapping []span // spans since the last gap between spans
	for i, s := range spans {
		if i > 0 && s.lo <= maxCovered {
			if !seenFilled {
				for _, b := range overlapping {
					for k := range b.count {
						seen.Add(uint64(b.at(k)))
					}
				}
				seenFilled = true
			}
			for k := range s.count {
				if !seen.CheckedAdd(uint64(s.at(k))) {
					return s.at(k), true
				}
			}
		} else {
			overlapping, seenFilled = overlapping[:0], false
			seen.Clear()
		}
		overlapping = append(overlapping, s)
		maxCovered = max(maxCovered, s.hi)
	}
	return 0, false
}
