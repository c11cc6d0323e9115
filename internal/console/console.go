// Package console is the terminal console: a state machine that is told of keys and of
// answers, and draws. It asks one question at a time and not more often than every two
// seconds, whatever is pressed; all talking to nodes is done by whoever runs it.
package console

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
	"unicode"

	tea "github.com/charmbracelet/bubbletea"

	"dapplestage.example/dapplestage/internal/coordination/ledger"
)

// Ask is a question: a page of the account, or one job.
type Ask struct {
	Site  int // by number
	Query ledger.Query
	Job   string // one job's reasons, instead of a page
}

// Answer is what came of a question.
type Answer struct {
	Ask  Ask
	Page *ledger.Page
	Job  []string // lines about one job
	Node string   // that answered
	Err  error
}

// Asker asks a node and returns its answer.
type Asker func(Ask) Answer

// Views of the console.
const (
	overview = iota
	teams
	classes
	zones
	jobs
	oneJob
)

var views = []string{"overview", "teams", "classes", "machines", "jobs"}

// Pause is how often a node is asked.
const Pause = 2 * time.Second

// Model is the console's state.
type Model struct {
	ask     Asker
	now     func() time.Time
	view    int
	back    int // the view that a job was opened from
	query   ledger.Query
	typing  bool
	cursor  int
	cursors []string // pages before this one
	sites   []string // names; empty: one without a name
	at      int      // the site that is shown
	known   []shown  // what was last known of each
	shown            // of the site that is shown
	job     string
	lines   []string
	asking  bool
	next    time.Time // when to ask again
	width   int
	height  int
}

// shown is what is known of a site, and since when.
type shown struct {
	page *ledger.Page
	err  error
	node string
	got  time.Time // when the page came
}

// New makes a console of some sites.
func New(ask Asker, now func() time.Time, sites ...string) *Model {
	return &Model{ask: ask, now: now, sites: sites, known: make([]shown, max(1, len(sites))), query: ledger.Query{Most: 100}, width: 80, height: 24}
}

// tick says that time has passed.
type tick time.Time

func later() tea.Cmd {
	return tea.Tick(250*time.Millisecond, func(t time.Time) tea.Msg { return tick(t) })
}

// Init begins.
func (m *Model) Init() tea.Cmd { return tea.Batch(m.question(), later()) }

// question asks if it is time to and nothing is under way.
func (m *Model) question() tea.Cmd {
	if m.asking || m.now().Before(m.next) {
		return nil
	}
	m.asking, m.next = true, m.now().Add(Pause)
	a := Ask{Site: m.at, Query: m.query}
	if m.view == oneJob {
		a.Job = m.job
	}
	return func() tea.Msg { return m.ask(a) }
}

// Update takes in a key, an answer or time.
func (m *Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.WindowSizeMsg:
		m.width, m.height = max(20, msg.Width), max(8, msg.Height)
	case tick:
		return m, tea.Batch(m.question(), later())
	case Answer:
		m.asking = false
		if msg.Ask.Site != m.at {
			m.next = time.Time{} // another site is shown now
			return m, m.question()
		}
		if msg.Err != nil {
			m.err = msg.Err
			return m, nil
		}
		m.node = msg.Node
		switch {
		case msg.Ask.Job != "":
			if m.view == oneJob && msg.Ask.Job == m.job {
				m.err, m.lines, m.got = nil, msg.Job, m.now()
			}
		case msg.Ask.Query == m.query:
			m.err, m.page, m.got = nil, msg.Page, m.now()
			m.cursor = max(0, min(m.cursor, len(msg.Page.Rows)-1))
		default:
			m.next = time.Time{} // the question has changed meanwhile
		}
	case tea.KeyMsg:
		return m, m.key(msg.String(), msg.Runes)
	}
	return m, nil
}

// key does what a key asks for.
func (m *Model) key(key string, runes []rune) tea.Cmd {
	switch {
	case key == "ctrl+c", key == "q" && !m.typing:
		return tea.Quit
	case m.typing:
		m.typeKey(key, runes)
	case !m.choose(key):
		m.navigate(key)
	}
	return m.question()
}

// mostTyped is how long a text to search for may be.
const mostTyped = 60

// typeKey takes a key while a text to search for is typed.
func (m *Model) typeKey(key string, runes []rune) {
	switch key {
	case "enter":
		m.typing = false
		m.first()
	case "esc":
		m.typing, m.query.Text = false, ""
		m.first()
	case "backspace":
		if r := []rune(m.query.Text); len(r) > 0 {
			m.query.Text = string(r[:len(r)-1])
		}
	default:
		for _, r := range runes {
			if unicode.IsPrint(r) && len(m.query.Text) < mostTyped {
				m.query.Text += string(r)
			}
		}
	}
}

// choose takes a key that changes which jobs are listed; false if it is none.
func (m *Model) choose(key string) bool {
	switch key {
	case "/":
		m.view, m.typing = jobs, true
		return true
	case "s":
		m.view, m.query.State = jobs, ledger.Stuck
	case "u":
		m.view, m.query.State = jobs, ledger.Unknown
	case "f":
		m.view, m.query.State = jobs, nextState(m.query.State)
	case "c":
		m.query = ledger.Query{Most: m.query.Most}
	default:
		return false
	}
	m.first()
	return true
}

// nextState is the state after another one: none, then each.
func nextState(state string) string {
	i := slices.Index(ledger.States, state) + 1
	if i == len(ledger.States) {
		return ""
	}
	return ledger.States[i]
}

// navigate takes a key that moves between sites, views, pages and rows.
func (m *Model) navigate(key string) {
	switch key {
	case "1", "2", "3", "4", "5":
		m.view, m.cursor = int(key[0]-'1'), 0
	case "tab":
		m.view, m.cursor = (min(m.view, jobs)+1)%len(views), 0
	case "x":
		m.nextSite()
	case "up", "k":
		m.cursor = max(0, m.cursor-1)
	case "down", "j":
		m.cursor = min(m.cursor+1, max(0, m.rows()-1))
	case "pgdown", "n":
		m.nextPage()
	case "pgup", "p":
		m.previousPage()
	case "enter":
		m.open()
	case "esc":
		m.leaveJob()
	}
}

// nextSite shows the next site. What was known of it is shown with its age until it answers.
func (m *Model) nextSite() {
	m.known[m.at] = m.shown
	m.at = (m.at + 1) % len(m.known)
	m.shown = m.known[m.at]
	m.leaveJob()
	m.first()
}

// leaveJob goes back to the view that a job was opened from.
func (m *Model) leaveJob() {
	if m.view == oneJob {
		m.view = m.back
	}
}

func (m *Model) nextPage() {
	if m.view == jobs && m.page != nil && m.page.After != "" {
		m.cursors = append(m.cursors, m.query.After)
		m.query.After, m.cursor, m.next = m.page.After, 0, time.Time{}
	}
}

func (m *Model) previousPage() {
	if l := len(m.cursors); m.view == jobs && l > 0 {
		m.query.After, m.cursors, m.cursor, m.next = m.cursors[l-1], m.cursors[:l-1], 0, time.Time{}
	}
}

// first goes to the first page of what is chosen, at once.
func (m *Model) first() { m.query.After, m.cursors, m.cursor, m.next = "", nil, 0, time.Time{} }

// open opens the row under the cursor: a job, or the jobs of a team, class or zone.
func (m *Model) open() {
	switch m.view {
	case jobs, overview:
		if rows := m.chosen(); m.cursor < len(rows) {
			m.job, m.lines, m.back, m.view, m.next = rows[m.cursor].Job, nil, m.view, oneJob, time.Time{}
		}
	case teams, classes, zones:
		if names := m.names(); m.cursor < len(names) {
			m.openNamed(names[m.cursor])
		}
	}
}

func (m *Model) openNamed(name string) {
	m.query = ledger.Query{Most: m.query.Most}
	switch m.view {
	case teams:
		m.query.Team = name
	case classes:
		m.query.Class = name
	case zones:
		m.query.Zone = name
	}
	m.view = jobs
	m.first()
}

// chosen are the jobs that the view lists.
func (m *Model) chosen() []ledger.Row {
	switch {
	case m.page == nil:
		return nil
	case m.view == overview:
		var out []ledger.Row
		for _, r := range m.page.Rows {
			if r.State == ledger.Stuck || r.State == ledger.Unknown {
				out = append(out, r)
			}
		}
		return out
	}
	return m.page.Rows
}

// names are what the view lists that is not jobs.
func (m *Model) names() []string {
	if m.page == nil {
		return nil
	}
	switch m.view {
	case teams, classes:
		of := m.page.Teams
		if m.view == classes {
			of = m.page.Classes
		}
		return slices.SortedFunc(maps.Keys(of), func(a, b string) int {
			x, y := of[a], of[b]
			return cmp.Or(y[ledger.Stuck]-x[ledger.Stuck], y[ledger.Unknown]-x[ledger.Unknown], y[ledger.Waiting]-x[ledger.Waiting], strings.Compare(a, b))
		})
	case zones:
		return slices.Sorted(maps.Keys(m.page.Zones))
	}
	return nil
}

func (m *Model) rows() int {
	if m.view == teams || m.view == classes || m.view == zones {
		return len(m.names())
	}
	return len(m.chosen())
}

// frameLines are the lines of the screen around the body: two above it and two below.
const frameLines = 4

// View draws the screen, no wider and no higher than it is. Nothing depends on colour.
func (m *Model) View() string {
	lines := []string{m.head(), m.stateLine()}
	lines = append(lines, m.body(m.height-frameLines)...)
	lines = append(lines, m.chosenLine(), "1-5 tab  enter esc  / search  f state  s stuck  u unknown  c all  n p page  q quit")
	for i, l := range lines {
		lines[i] = cut(l, m.width)
	}
	return strings.Join(lines, "\n")
}

// head is the line with the views, and the site where there are several.
func (m *Model) head() string {
	head := "dapplestage"
	if len(m.sites) > 1 {
		head = "" // the sites' name takes its place
	}
	for i, v := range views {
		mark := fmt.Sprintf(" %d:%s", i+1, v)
		if i == m.view || m.view == oneJob && i == m.back {
			mark = fmt.Sprintf(" [%d:%s]", i+1, v)
		}
		head += mark
	}
	if len(m.sites) > 1 {
		head += "  " + m.sites[m.at] + " (x: next)"
	}
	return head
}

// body is the view's lines, as many as there is room for.
func (m *Model) body(height int) []string {
	var rows []string
	switch {
	case m.view == oneJob && m.lines == nil:
		rows = []string{"asking about " + m.job + " ..."}
	case m.view == oneJob:
		rows = m.lines
	case m.page == nil:
		rows = []string{"asking ..."}
	default:
		rows = m.table()
	}
	// The cursor stays on the screen, and the heading with it.
	if m.view != oneJob && len(rows) > 0 {
		heads := m.heads()
		if at := heads + m.cursor; at >= height {
			from := at - height + 1
			rows = append(slices.Clone(rows[:heads]), rows[min(len(rows), heads+from):]...)
		}
	}
	out := make([]string, height)
	copy(out, rows)
	return out
}

// cut makes a line safe and as wide as the screen: names are whatever users chose.
func cut(s string, width int) string {
	out := make([]rune, 0, width)
	for _, r := range s {
		if !unicode.IsPrint(r) {
			r = '?'
		}
		if len(out) == width {
			out[width-1] = '>'
			break
		}
		out = append(out, r)
	}
	return strings.TrimRight(string(out), " ")
}

func (m *Model) stateLine() string {
	if m.got.IsZero() {
		if m.err != nil {
			return "NOT KNOWN: " + m.err.Error()
		}
		return ""
	}
	age := m.now().Sub(m.got)
	s := fmt.Sprintf("as %s told it %.0f s ago", m.node, age.Seconds())
	if m.err != nil {
		s = fmt.Sprintf("NOT KNOWN since %.0f s: %v", age.Seconds(), m.err)
	} else if m.page != nil && m.page.StateAge > 3 {
		s += fmt.Sprintf("; the state service answered %.0f s before", m.page.StateAge)
	}
	if m.page != nil && len(m.page.Unknown) > 0 {
		s += "; " + m.page.Unknown[0]
		if n := len(m.page.Unknown) - 1; n > 0 {
			s += fmt.Sprintf(" (and %d more)", n)
		}
	}
	return s
}

func (m *Model) chosenLine() string {
	var parts []string
	for _, p := range [][2]string{{"state", m.query.State}, {"team", m.query.Team}, {"class", m.query.Class}, {"zone", m.query.Zone}, {"search", m.query.Text}} {
		if p[1] != "" || p[0] == "search" && m.typing {
			parts = append(parts, p[0]+"="+p[1])
		}
	}
	s := strings.Join(parts, " ")
	if m.typing {
		s += "_"
	}
	if len(m.cursors) > 0 {
		s += fmt.Sprintf("  page %d", len(m.cursors)+1)
	}
	if m.view == jobs && m.page != nil && m.page.After != "" {
		s += "  more: n"
	}
	return s
}

// heads is how many lines stand above a view's list.
func (m *Model) heads() int {
	if m.view == overview {
		return len(ledger.States) + 3
	}
	return 1
}

func (m *Model) mark(i int) string {
	if i == m.cursor {
		return "> "
	}
	return "  "
}

func (m *Model) table() []string {
	p := m.page
	var out []string
	switch m.view {
	case overview:
		for _, s := range ledger.States {
			note := ""
			switch {
			case p.Sums[s] == 0:
			case s == ledger.Stuck:
				note = "  <- look"
			case s == ledger.Unknown:
				note = "  <- not known, not fine"
			}
			out = append(out, fmt.Sprintf("  %-10s %8d jobs%s", s, p.Sums[s], note))
		}
		out = append(out, "", fmt.Sprintf("  %-26s %-16s %-12s %s", "STUCK, NOT KNOWN (of this page)", "TEAM", "CLASS", "WHY"))
		out = append(out, "")
		for i, r := range m.chosen() {
			out = append(out, fmt.Sprintf("%s%-26s %-16.16s %-12.12s %s", m.mark(i), r.Job, r.Team, r.Class, r.Why))
		}
	case teams, classes:
		of, name := p.Teams, "TEAM"
		if m.view == classes {
			of, name = p.Classes, "CLASS"
		}
		out = append(out, fmt.Sprintf("  %-24s %6s %6s %6s %6s %6s %6s %6s", name, "STUCK", "UNKNWN", "WAIT", "START", "RUN", "FAILED", "DONE"))
		for i, t := range m.names() {
			s := of[t]
			out = append(out, fmt.Sprintf("%s%-24.24s %6d %6d %6d %6d %6d %6d %6d", m.mark(i), t, s[ledger.Stuck], s[ledger.Unknown], s[ledger.Waiting], s[ledger.Starting], s[ledger.Running], s[ledger.Failed], s[ledger.Done]))
		}
	case zones:
		out = append(out, fmt.Sprintf("  %-20s %6s %8s %8s %7s %8s %12s", "ZONE", "UP", "BOOTING", "DRAINED", "SILENT", "UNKNOWN", "GPUS USED"))
		for i, z := range m.names() {
			s := p.Zones[z]
			out = append(out, fmt.Sprintf("%s%-20.20s %6d %8d %8d %7d %8d %6g/%g", m.mark(i), z, s.Up, s.Booting, s.Drained, s.Silent, s.Unknown, s.Used, s.GPUs))
		}
	case jobs:
		out = append(out, fmt.Sprintf("  %-20s %-12s %-10s %-9s %9s %5s  %s", "JOB", "TEAM", "CLASS", "STATE", "DONE", "RUN", "WHY"))
		for i, r := range p.Rows {
			out = append(out, fmt.Sprintf("%s%-20.20s %-12.12s %-10.10s %-9s %9s %5d  %s", m.mark(i), r.Job, r.Team, r.Class, r.State, fmt.Sprintf("%d/%d", r.Done, r.Tasks), r.Running, r.Why))
		}
		if len(p.Rows) == 0 {
			out = append(out, "  no such jobs")
		}
	}
	return out
}
