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

// MaxTasks is the most tasks of a step, and of a ticket.
const MaxTasks = 100000

// The grammar of a range expression: "1-100:2", "3,7-9", "-5--1", "10-1:-1".
type rangeExpr struct {
	Parts []*rangePart `parser:"@@ (',' @@)*"`
}

type rangePart struct {
	Pos  lexer.Position
	From string  `parser:"@Int"`
	To   *string `parser:"('-' @Int"`
	Step *string `parser:"(':' @Int)?)?"`
}

// The minus of a number and the one between two are told apart by the parser: a
// range is read from words that the lexer makes of digits and signs.
var rangeLexer = lexer.MustStateful(lexer.Rules{
	"Root": {
		{Name: "space", Pattern: `[ \t]+`},
		{Name: "Int", Pattern: `-?[0-9]+`, Action: lexer.Push("After")},
	},
	"After": { // behind a number a minus is a dash
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

// intRange is what an integer range stands for, never written out.
type intRange []sequence

// parseRange reads a range expression. The number of its values is known to be at
// most MaxTasks, whatever the numbers in it.
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
		r, err := p.run()
		if err != nil {
			return nil, fmt.Errorf("range expression %s: %v", quoteClipped(s), err)
		}
		if total += r.count; r.count > MaxTasks || total > MaxTasks {
			return nil, fmt.Errorf("range expression %s: more than %d values", quoteClipped(s), MaxTasks)
		}
		out = append(out, r)
	}
	if a, twice := out.repeated(); twice {
		return nil, fmt.Errorf("range expression %s: %d is in it twice", quoteClipped(s), a)
	}
	return out, nil
}

// parseErrorText is a parser's complaint with its column, without the empty file name.
func parseErrorText(err error) string {
	if pe, ok := err.(participle.Error); ok {
		return fmt.Sprintf("column %d: %s", pe.Position().Column, pe.Message())
	}
	return err.Error()
}

func (p *rangePart) run() (sequence, error) {
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
	// The distance of two int64 fits a uint64, and so does the size of a step.
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

// repeated finds a value that is in two parts of a range. Parts whose bounds lie
// apart are not looked into.
func (r intRange) repeated() (int64, bool) {
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
	reach, filled := int64(math.MinInt64), false
	var before []span // since the last place that no part crosses
	for i, s := range spans {
		if i > 0 && s.lo <= reach {
			if !filled {
				for _, b := range before {
					for k := range b.count {
						seen.Add(uint64(b.at(k)))
					}
				}
				filled = true
			}
			for k := range s.count {
				if !seen.CheckedAdd(uint64(s.at(k))) {
					return s.at(k), true
				}
			}
		} else {
			before, filled = before[:0], false
			seen.Clear()
		}
		before = append(before, s)
		reach = max(reach, s.hi)
	}
	return 0, false
}
