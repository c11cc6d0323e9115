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

// testConsole is a console with a simulated clock and a simulated node.
type testConsole struct {
	*Model
	now      time.Time
	requests []Request
	fetchErr error
	jobCount int
}

func newTestConsole(jobCount int) *testConsole {
	console := &testConsole{now: time.Unix(1e9, 0), jobCount: jobCount}
	console.Model = New(func(request Request) Answer {
		console.requests = append(console.requests, request)
		if console.fetchErr != nil {
			return Answer{Request: request, Err: console.fetchErr}
		}
		if request.Job != "" {
			return Answer{Request: request, JobLines: []string{request.Job + " waits", "because: team limit"}, Node: "n-0"}
		}
		page := ledger.NewPage("n-0", console.now)
		for i := range console.jobCount {
			page.Add(&request.Query, ledger.Row{Job: fmt.Sprintf("job-%06d", i), Team: fmt.Sprint("shop-", i%7), Class: "album", State: ledger.States[i%len(ledger.States)], Why: "\x1b[2Jbecause\nof", Tasks: 5, Zones: []string{"a"}})
		}
		page.Zones["a"] = ledger.ZoneSums{Up: 4}
		page.Finish(&request.Query)
		return Answer{Request: request, Page: page, Node: "n-0"}
	}, func() time.Time { return console.now })
	console.runCommand(console.requestIfDue())
	return console
}

// runCommand runs the request of a command and passes the answer on; ticks are left out,
// since the test controls the clock.
func (console *testConsole) runCommand(cmd tea.Cmd) {
	if cmd == nil {
		return
	}
	if answer, ok := cmd().(Answer); ok {
		_, cmd := console.Update(answer)
		console.runCommand(cmd)
	}
}

func (console *testConsole) press(keys ...string) {
	for _, key := range keys {
		msg := tea.KeyMsg{Type: tea.KeyRunes, Runes: []rune(key)}
		switch key {
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
		_, cmd := console.Update(msg)
		console.runCommand(cmd)
	}
}

// advance advances the clock in steps of 250 ms and makes the requests that are due.
func (console *testConsole) advance(duration time.Duration) {
	for range int(duration / (250 * time.Millisecond)) {
		console.now = console.now.Add(250 * time.Millisecond)
		console.runCommand(console.requestIfDue())
	}
}

// Each key leads to the view, page or filter that it stands for.
func TestViews(t *testing.T) {
	console := newTestConsole(300)
	for _, tc := range []struct {
		keys []string
		want string
	}{
		{nil, "stuck "}, {[]string{"2"}, "shop-3"}, {[]string{"4"}, "SILENT"}, {[]string{"5"}, "job-000000"},
		{[]string{"n"}, "job-000100"}, {[]string{"n"}, "page 3"}, {[]string{"p", "p"}, "job-000000"},
		{[]string{"s"}, "state=stuck"}, {[]string{"c", "/", "0", "1", "7", "enter"}, "job-000017"},
		{[]string{"enter"}, "because: team limit"}, {[]string{"esc"}, "search=017"}, {[]string{"c", "2", "enter"}, "team=shop-"},
		{[]string{"c", "tab"}, "[1:overview]"},
	} {
		console.press(tc.keys...)
		console.advance(3 * time.Second)
		if view := console.View(); !strings.Contains(view, tc.want) {
			t.Errorf("after %v: %q is not on\n%s", tc.keys, tc.want, view)
		}
	}
}

// For any sequence of keys, answers and errors, the screen is never wider or higher than
// the terminal and contains no control characters.
func TestAnyKeys(t *testing.T) {
	keys := []string{"1", "2", "3", "4", "5", "tab", "/", "s", "u", "f", "c", "up", "down", "n", "p", "enter", "esc", "backspace", "x", "é", "0", "a"}
	rapid.Check(t, func(t *rapid.T) {
		console := newTestConsole(rapid.SampledFrom([]int{0, 1, 30, 250}).Draw(t, "rows"))
		width, height := rapid.IntRange(1, 200).Draw(t, "width"), rapid.IntRange(1, 60).Draw(t, "height")
		console.Update(tea.WindowSizeMsg{Width: width, Height: height})
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				console.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			case 1:
				console.fetchErr = errors.New("n-0 does not answer")
			case 2:
				console.fetchErr = nil
			default:
				console.press(rapid.SampledFrom(keys).Draw(t, "key"))
			}
			lines := strings.Split(console.View(), "\n")
			if len(lines) > max(8, height) {
				t.Fatalf("%d lines on %d", len(lines), height)
			}
			for _, line := range lines {
				if utf8.RuneCountInString(line) > max(20, width) || strings.ContainsAny(line, "\x1b\r\t") {
					t.Fatalf("%q on %d columns", line, width)
				}
			}
		}
	})
}

// Keys that do not change the query do not cause more requests than one every two seconds.
func TestRequestRate(t *testing.T) {
	console := newTestConsole(10)
	for range 200 {
		console.press("down", "up", "2", "5")
		console.now = console.now.Add(50 * time.Millisecond)
	}
	if n := len(console.requests); n > 7 {
		t.Errorf("%d questions in 10 s", n)
	}
}

// The last known state of a site that does not answer stays on the screen with its age, and
// the other site is one key away.
func TestTwoSites(t *testing.T) {
	console := newTestConsole(5)
	fetch := console.fetch
	unreachable := false
	console.Model = New(func(request Request) Answer {
		if request.SiteIndex == 1 && unreachable {
			return Answer{Request: request, Err: errors.New("no controller of xela answers")}
		}
		return fetch(request)
	}, func() time.Time { return console.now }, "quito", "xela")
	console.advance(3 * time.Second)
	console.press("x")
	console.advance(3 * time.Second)
	if view := console.View(); !strings.Contains(view, "xela (x: next)") || !strings.Contains(view, "stuck ") {
		t.Error(view)
	}
	unreachable = true
	console.press("x")
	console.advance(20 * time.Second)
	console.press("x")
	console.advance(3 * time.Second)
	if view := console.View(); !strings.Contains(view, "NOT KNOWN since 2") || !strings.Contains(view, "no controller of xela") || !strings.Contains(view, "running") {
		t.Error(view)
	}
	console.press("x")
	console.advance(3 * time.Second)
	if view := console.View(); strings.Contains(view, "NOT KNOWN since") || !strings.Contains(view, "quito") {
		t.Error(view)
	}
}

// When a node stops answering, the last known state stays on the screen, marked with its
// age as not known.
func TestDeadNode(t *testing.T) {
	console := newTestConsole(10)
	console.fetchErr = errors.New("n-0 does not answer")
	console.advance(10 * time.Second)
	if view := console.View(); !strings.Contains(view, "NOT KNOWN since 10 s: n-0 does not answer") || !strings.Contains(view, "running") {
		t.Error(view)
	}
	console.fetchErr = nil
	console.advance(3 * time.Second)
	if view := console.View(); strings.Contains(view, "NOT KNOWN since") {
		t.Error(view)
	}
}
