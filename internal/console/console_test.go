package console

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	tea "github.com/charmbracelet/bubbletea"
	"pgregory.net/rapid"

	"dapplestage.example/dapplestage/internal/coordination/ledger"
)

// testConsole is a console with a clock and a node of its own.
type testConsole struct {
	*Model
	now      time.Time
	requests []Request
	fetchErr error
	jobCount int
}

func newTestConsole(rows int) *testConsole {
	r := &testConsole{now: time.Unix(1e9, 0), jobCount: rows}
	r.Model = New(func(a Request) Answer {
		r.requests = append(r.requests, a)
		if r.fetchErr != nil {
			return Answer{Request: a, Err: r.fetchErr}
		}
		if a.Job != "" {
			return Answer{Request: a, JobLines: []string{a.Job + " waits", "because: team limit"}, Node: "n-0"}
		}
		p := ledger.NewPage("n-0", r.now)
		for i := range r.jobCount {
			p.Add(&a.Query, ledger.Row{Job: fmt.Sprintf("job-%06d", i), Team: fmt.Sprint("shop-", i%7), Class: "album", State: ledger.States[i%len(ledger.States)], Why: "\x1b[2Jbecause\nof", Tasks: 5, Zones: []string{"a"}})
		}
		p.Zones["a"] = ledger.ZoneSums{Up: 4}
		p.Finish(&a.Query)
		return Answer{Request: a, Page: p, Node: "n-0"}
	}, func() time.Time { return r.now })
	r.runCommand(r.requestIfDue())
	return r
}

// runCommand runs what an update asks for: questions only, time is the test's.
func (r *testConsole) runCommand(c tea.Cmd) {
	if c == nil {
		return
	}
	if a, ok := c().(Answer); ok {
		_, c := r.Update(a)
		r.runCommand(c)
	}
}

func (r *testConsole) press(keys ...string) {
	for _, k := range keys {
		msg := tea.KeyMsg{Type: tea.KeyRunes, Runes: []rune(k)}
		switch k {
		case "enter":
			msg = tea.KeyMsg{Type: tea.KeyEnter}
		case "esc":
			msg = tea.KeyMsg{Type: tea.KeyEsc}
		case "tab":
			msg = tea.KeyMsg{Type: tea.KeyTab}
		case "down":
			msg = tea.KeyMsg{Type: tea.KeyDown}
		case "up":
			msg = tea.KeyMsg{Type: tea.KeyUp}
		case "backspace":
			msg = tea.KeyMsg{Type: tea.KeyBackspace}
		}
		_, c := r.Update(msg)
		r.runCommand(c)
	}
}

func (r *testConsole) advance(d time.Duration) {
	for range int(d / (250 * time.Millisecond)) {
		r.now = r.now.Add(250 * time.Millisecond)
		r.runCommand(r.requestIfDue())
	}
}

func TestViews(t *testing.T) {
	r := newTestConsole(300)
	for _, c := range []struct {
		keys []string
		want string
	}{
		{nil, "stuck "}, {[]string{"2"}, "shop-3"}, {[]string{"4"}, "SILENT"}, {[]string{"5"}, "job-000000"},
		{[]string{"n"}, "job-000100"}, {[]string{"n"}, "page 3"}, {[]string{"p", "p"}, "job-000000"},
		{[]string{"s"}, "state=stuck"}, {[]string{"c", "/", "0", "1", "7", "enter"}, "job-000017"},
		{[]string{"enter"}, "because: team limit"}, {[]string{"esc"}, "search=017"}, {[]string{"c", "2", "enter"}, "team=shop-"},
		{[]string{"c", "tab"}, "[1:overview]"},
	} {
		r.press(c.keys...)
		r.advance(3 * time.Second)
		if v := r.View(); !strings.Contains(v, c.want) {
			t.Errorf("after %v: %q is not on\n%s", c.keys, c.want, v)
		}
	}
}

// Whatever is pressed: a node is asked at most every two seconds unless something else
// is asked for, one question at a time; the screen is never too wide or too high and
// holds no control characters; and old answers are not shown as the new question's.
func TestAnyKeys(t *testing.T) {
	keys := []string{"1", "2", "3", "4", "5", "tab", "/", "s", "u", "f", "c", "up", "down", "n", "p", "enter", "esc", "backspace", "x", "é", "0", "a"}
	rapid.Check(t, func(t *rapid.T) {
		r := newTestConsole(rapid.SampledFrom([]int{0, 1, 30, 250}).Draw(t, "rows"))
		w, h := rapid.IntRange(1, 200).Draw(t, "width"), rapid.IntRange(1, 60).Draw(t, "height")
		r.Update(tea.WindowSizeMsg{Width: w, Height: h})
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				r.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			case 1:
				r.fetchErr = errors.New("n-0 does not answer")
			case 2:
				r.fetchErr = nil
			default:
				r.press(rapid.SampledFrom(keys).Draw(t, "key"))
			}
			lines := strings.Split(r.View(), "\n")
			if len(lines) > max(8, h) {
				t.Fatalf("%d lines on %d", len(lines), h)
			}
			for _, l := range lines {
				if utf8.RuneCountInString(l) > max(20, w) || strings.ContainsAny(l, "\x1b\r\t") {
					t.Fatalf("%q on %d columns", l, w)
				}
			}
		}
	})
}

func TestAskingIsBounded(t *testing.T) {
	r := newTestConsole(10)
	for range 200 {
		r.press("down", "up", "2", "5")
		r.now = r.now.Add(50 * time.Millisecond)
	}
	if n := len(r.requests); n > 7 {
		t.Errorf("%d questions in 10 s", n)
	}
}

// Of a site that is lost what was known stays, with its age, and the other one is a key
// away.
func TestTwoSites(t *testing.T) {
	r := newTestConsole(5)
	inner := r.fetch
	lost := false
	r.Model = New(func(a Request) Answer {
		if a.SiteIndex == 1 && lost {
			return Answer{Request: a, Err: errors.New("no controller of xela answers")}
		}
		return inner(a)
	}, func() time.Time { return r.now }, "quito", "xela")
	r.advance(3 * time.Second)
	r.press("x")
	r.advance(3 * time.Second)
	if v := r.View(); !strings.Contains(v, "xela (x: next)") || !strings.Contains(v, "stuck ") {
		t.Error(v)
	}
	lost = true
	r.press("x")
	r.advance(20 * time.Second)
	r.press("x")
	r.advance(3 * time.Second)
	if v := r.View(); !strings.Contains(v, "NOT KNOWN since 2") || !strings.Contains(v, "no controller of xela") || !strings.Contains(v, "running") {
		t.Error(v)
	}
	r.press("x")
	r.advance(3 * time.Second)
	if v := r.View(); strings.Contains(v, "NOT KNOWN since") || !strings.Contains(v, "quito") {
		t.Error(v)
	}
}

// A node that dies while the console runs: what was known stays, marked with its age,
// and is not shown as fine.
func TestDeadNode(t *testing.T) {
	r := newTestConsole(10)
	r.fetchErr = errors.New("n-0 does not answer")
	r.advance(10 * time.Second)
	if v := r.View(); !strings.Contains(v, "NOT KNOWN since 10 s: n-0 does not answer") || !strings.Contains(v, "running") {
		t.Error(v)
	}
	r.fetchErr = nil
	r.advance(3 * time.Second)
	if v := r.View(); strings.Contains(v, "NOT KNOWN since") {
		t.Error(v)
	}
}
