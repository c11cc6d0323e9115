// Package console implements the terminal console as a state machine: its inputs are keys,
// answers and time, its output is the screen. It has one request in flight at a time, and
// repeats it at most every two seconds, whatever keys are pressed. The requests to the
// nodes are made by the caller.
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

// Request asks for a page of the account, or for the explanation of one job.
type Request struct {
	SiteIndex int // index of the site
	Query     ledger.Query
	Job       string // if set, explain this job instead of returning a page
}

// Answer is the answer to a request.
type Answer struct {
	Request  Request
	Page     *ledger.Page
	JobLines []string // explanation of the job
	Node     string   // node that answered
	Err      error
}

// FetchFunc sends a request to a node and returns its answer.
type FetchFunc func(Request) Answer

// Views of the console, in the order of viewNames; viewJob is the explanation of one job.
const (
	viewOverview = iota
	viewTeams
	viewClasses
	viewZones
	viewJobs
	viewJob
)

// viewNames are the names of the views as they are displayed.
var viewNames = []string{"overview", "teams", "classes", "machines", "jobs"}

// RequestInterval is the time between repeated requests for the same view.
const RequestInterval = 2 * time.Second

// Model is the state of the console.
type Model struct {
	fetch          FetchFunc
	now            func() time.Time
	view           int
	previousView   int // view from which the job was opened
	query          ledger.Query
	typing         bool        // a search text is being typed
	cursor         int         // selected row
	previousPages  []string    // start of each page before this one
	sites          []string    // names; empty: one site without a name
	siteIndex      int         // site that is displayed
	siteStates     []siteState // last known state of each site
	siteState                  // state of the displayed site
	job            string      // job that is explained
	jobLines       []string    // explanation; nil: not received yet
	requestPending bool
	nextRequest    time.Time // earliest time of the next request
	width          int
	height         int
}

// siteState is what is known of a site, and since when.
type siteState struct {
	page       *ledger.Page
	err        error
	node       string
	receivedAt time.Time // when the last answer arrived
}

// New creates a console for the given sites.
func New(fetch FetchFunc, now func() time.Time, sites ...string) *Model {
	return &Model{fetch: fetch, now: now, sites: sites, siteStates: make([]siteState, max(1, len(sites))), query: ledger.Query{Limit: 100}, width: 80, height: 24}
}

// tick is the message that time has passed.
type tick time.Time

// scheduleTick returns the command that sends the next tick.
func scheduleTick() tea.Cmd {
	return tea.Tick(250*time.Millisecond, func(t time.Time) tea.Msg { return tick(t) })
}

// Init implements tea.Model.
func (m *Model) Init() tea.Cmd { return tea.Batch(m.requestIfDue(), scheduleTick()) }

// requestIfDue returns the command for the next request, if it is due and none is in
// flight.
func (m *Model) requestIfDue() tea.Cmd {
	if m.requestPending || m.now().Before(m.nextRequest) {
		return nil
	}
	m.requestPending, m.nextRequest = true, m.now().Add(RequestInterval)
	request := Request{SiteIndex: m.siteIndex, Query: m.query}
	if m.view == viewJob {
		request.Job = m.job
	}
	return func() tea.Msg { return m.fetch(request) }
}

// Update implements tea.Model. It handles a key, an answer or a tick.
func (m *Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.WindowSizeMsg:
		m.width, m.height = max(20, msg.Width), max(8, msg.Height)
	case tick:
		return m, tea.Batch(m.requestIfDue(), scheduleTick())
	case Answer:
		m.requestPending = false
		if msg.Request.SiteIndex != m.siteIndex {
			m.nextRequest = time.Time{} // another site is displayed by now
			return m, m.requestIfDue()
		}
		if msg.Err != nil {
			m.err = msg.Err
			return m, nil
		}
		m.node = msg.Node
		switch {
		case msg.Request.Job != "":
			if m.view == viewJob && msg.Request.Job == m.job {
				m.err, m.jobLines, m.receivedAt = nil, msg.JobLines, m.now()
			}
		case msg.Request.Query == m.query:
			m.err, m.page, m.receivedAt = nil, msg.Page, m.now()
			m.cursor = max(0, min(m.cursor, len(msg.Page.Rows)-1))
		default:
			m.nextRequest = time.Time{} // the query has changed in the meantime
		}
	case tea.KeyMsg:
		return m, m.handleKey(msg.String(), msg.Runes)
	}
	return m, nil
}

// handleKey handles a key.
func (m *Model) handleKey(key string, runes []rune) tea.Cmd {
	switch {
	case key == "ctrl+c", key == "q" && !m.typing:
		return tea.Quit
	case m.typing:
		m.handleSearchKey(key, runes)
	case !m.handleFilterKey(key):
		m.navigate(key)
	}
	return m.requestIfDue()
}

// maxSearchLength limits the length of a search text.
const maxSearchLength = 60

// handleSearchKey handles a key while a search text is typed.
func (m *Model) handleSearchKey(key string, runes []rune) {
	switch key {
	case "enter":
		m.typing = false
		m.firstPage()
	case "esc":
		m.typing, m.query.Text = false, ""
		m.firstPage()
	case "backspace":
		if typed := []rune(m.query.Text); len(typed) > 0 {
			m.query.Text = string(typed[:len(typed)-1])
		}
	default:
		for _, r := range runes {
			if unicode.IsPrint(r) && len(m.query.Text) < maxSearchLength {
				m.query.Text += string(r)
			}
		}
	}
}

// handleFilterKey handles a key that changes which jobs are listed; false if the key is
// another one.
func (m *Model) handleFilterKey(key string) bool {
	switch key {
	case "/":
		m.view, m.typing = viewJobs, true
		return true
	case "s":
		m.view, m.query.State = viewJobs, ledger.Stuck
	case "u":
		m.view, m.query.State = viewJobs, ledger.Unknown
	case "f":
		m.view, m.query.State = viewJobs, nextState(m.query.State)
	case "c":
		m.query = ledger.Query{Limit: m.query.Limit}
	default:
		return false
	}
	m.firstPage()
	return true
}

// nextState returns the filter after the given one in the cycle of no filter and each
// state.
func nextState(state string) string {
	i := slices.Index(ledger.States, state) + 1
	if i == len(ledger.States) {
		return ""
	}
	return ledger.States[i]
}

// navigate handles a key that moves between sites, views, pages and rows.
func (m *Model) navigate(key string) {
	switch key {
	case "1", "2", "3", "4", "5":
		m.view, m.cursor = int(key[0]-'1'), 0
	case "tab":
		m.view, m.cursor = (min(m.view, viewJobs)+1)%len(viewNames), 0
	case "x":
		m.nextSite()
	case "up", "k":
		m.cursor = max(0, m.cursor-1)
	case "down", "j":
		m.cursor = min(m.cursor+1, max(0, m.rowCount()-1))
	case "pgdown", "n":
		m.nextPage()
	case "pgup", "p":
		m.previousPage()
	case "enter":
		m.openSelected()
	case "esc":
		m.closeJob()
	}
}

// nextSite displays the next site. Until it answers, its last known state is displayed with
// its age.
func (m *Model) nextSite() {
	m.siteStates[m.siteIndex] = m.siteState
	m.siteIndex = (m.siteIndex + 1) % len(m.siteStates)
	m.siteState = m.siteStates[m.siteIndex]
	m.closeJob()
	m.firstPage()
}

// closeJob returns to the view from which a job was opened.
func (m *Model) closeJob() {
	if m.view == viewJob {
		m.view = m.previousView
	}
}

func (m *Model) nextPage() {
	if m.view == viewJobs && m.page != nil && m.page.After != "" {
		m.previousPages = append(m.previousPages, m.query.After)
		m.query.After, m.cursor, m.nextRequest = m.page.After, 0, time.Time{}
	}
}

func (m *Model) previousPage() {
	if n := len(m.previousPages); m.view == viewJobs && n > 0 {
		m.query.After, m.previousPages, m.cursor, m.nextRequest = m.previousPages[n-1], m.previousPages[:n-1], 0, time.Time{}
	}
}

// firstPage goes to the first page of the present filter and requests it without delay.
func (m *Model) firstPage() {
	m.query.After, m.previousPages, m.cursor, m.nextRequest = "", nil, 0, time.Time{}
}

// openSelected opens the row under the cursor: a job, or the jobs of a team, class or zone.
func (m *Model) openSelected() {
	switch m.view {
	case viewJobs, viewOverview:
		if rows := m.listedJobs(); m.cursor < len(rows) {
			m.job, m.jobLines, m.previousView, m.view, m.nextRequest = rows[m.cursor].Job, nil, m.view, viewJob, time.Time{}
		}
	case viewTeams, viewClasses, viewZones:
		if names := m.listedNames(); m.cursor < len(names) {
			m.openGroup(names[m.cursor])
		}
	}
}

// openGroup lists the jobs of a team, class or zone.
func (m *Model) openGroup(name string) {
	m.query = ledger.Query{Limit: m.query.Limit}
	switch m.view {
	case viewTeams:
		m.query.Team = name
	case viewClasses:
		m.query.Class = name
	case viewZones:
		m.query.Zone = name
	}
	m.view = viewJobs
	m.firstPage()
}

// listedJobs returns the jobs that the view lists.
func (m *Model) listedJobs() []ledger.Row {
	switch {
	case m.page == nil:
		return nil
	case m.view == viewOverview:
		var out []ledger.Row
		for _, row := range m.page.Rows {
			if row.State == ledger.Stuck || row.State == ledger.Unknown {
				out = append(out, row)
			}
		}
		return out
	}
	return m.page.Rows
}

// listedNames returns the teams, classes or zones that the view lists.
func (m *Model) listedNames() []string {
	if m.page == nil {
		return nil
	}
	switch m.view {
	case viewTeams, viewClasses:
		sums := m.page.Teams
		if m.view == viewClasses {
			sums = m.page.Classes
		}
		return slices.SortedFunc(maps.Keys(sums), func(a, b string) int {
			sumsA, sumsB := sums[a], sums[b]
			return cmp.Or(sumsB[ledger.Stuck]-sumsA[ledger.Stuck], sumsB[ledger.Unknown]-sumsA[ledger.Unknown], sumsB[ledger.Waiting]-sumsA[ledger.Waiting], strings.Compare(a, b))
		})
	case viewZones:
		return slices.Sorted(maps.Keys(m.page.Zones))
	}
	return nil
}

// rowCount returns the number of rows that the view lists.
func (m *Model) rowCount() int {
	if m.view == viewTeams || m.view == viewClasses || m.view == viewZones {
		return len(m.listedNames())
	}
	return len(m.listedJobs())
}

// frameLines is the number of lines around the body: two above it and two below.
const frameLines = 4

// View implements tea.Model. It draws the screen within its width and height. No
// information depends on colour.
func (m *Model) View() string {
	lines := []string{m.headLine(), m.stateLine()}
	lines = append(lines, m.bodyLines(m.height-frameLines)...)
	lines = append(lines, m.filterLine(), "1-5 tab  enter esc  / search  f state  s stuck  u unknown  c all  n p page  q quit")
	for i, l := range lines {
		lines[i] = fitLine(l, m.width)
	}
	return strings.Join(lines, "\n")
}

// headLine returns the line with the views, and with the name of the site if there are
// several.
func (m *Model) headLine() string {
	head := "dapplestage"
	if len(m.sites) > 1 {
		head = "" // the name of the site takes its place
	}
	for i, name := range viewNames {
		mark := fmt.Sprintf(" %d:%s", i+1, name)
		if i == m.view || m.view == viewJob && i == m.previousView {
			mark = fmt.Sprintf(" [%d:%s]", i+1, name)
		}
		head += mark
	}
	if len(m.sites) > 1 {
		head += "  " + m.sites[m.siteIndex] + " (x: next)"
	}
	return head
}

// bodyLines returns the lines of the view, cut or filled to the given height.
func (m *Model) bodyLines(height int) []string {
	var rows []string
	switch {
	case m.view == viewJob && m.jobLines == nil:
		rows = []string{"asking about " + m.job + " ..."}
	case m.view == viewJob:
		rows = m.jobLines
	case m.page == nil:
		rows = []string{"asking ..."}
	default:
		rows = m.tableLines()
	}
	// The rows scroll so that the cursor stays visible; the headings stay in place.
	if m.view != viewJob && len(rows) > 0 {
		headings := m.headingLines()
		if cursorLine := headings + m.cursor; cursorLine >= height {
			firstRow := cursorLine - height + 1
			rows = append(slices.Clone(rows[:headings]), rows[min(len(rows), headings+firstRow):]...)
		}
	}
	out := make([]string, height)
	copy(out, rows)
	return out
}

// fitLine cuts a line to the width of the screen and replaces control characters: names are
// chosen by users.
func fitLine(line string, width int) string {
	out := make([]rune, 0, width)
	for _, r := range line {
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

// stateLine returns the line with the source and age of the data, and what is not known.
func (m *Model) stateLine() string {
	if m.receivedAt.IsZero() {
		if m.err != nil {
			return "NOT KNOWN: " + m.err.Error()
		}
		return ""
	}
	age := m.now().Sub(m.receivedAt)
	line := fmt.Sprintf("as %s told it %.0f s ago", m.node, age.Seconds())
	if m.err != nil {
		line = fmt.Sprintf("NOT KNOWN since %.0f s: %v", age.Seconds(), m.err)
	} else if m.page != nil && m.page.SinceStateAnswer > 3 {
		line += fmt.Sprintf("; the state service answered %.0f s before", m.page.SinceStateAnswer)
	}
	if m.page != nil && len(m.page.Unknown) > 0 {
		line += "; " + m.page.Unknown[0]
		if n := len(m.page.Unknown) - 1; n > 0 {
			line += fmt.Sprintf(" (and %d more)", n)
		}
	}
	return line
}

// filterLine returns the line with the present filter and page.
func (m *Model) filterLine() string {
	var parts []string
	for _, filter := range [][2]string{{"state", m.query.State}, {"team", m.query.Team}, {"class", m.query.Class}, {"zone", m.query.Zone}, {"search", m.query.Text}} {
		if filter[1] != "" || filter[0] == "search" && m.typing {
			parts = append(parts, filter[0]+"="+filter[1])
		}
	}
	line := strings.Join(parts, " ")
	if m.typing {
		line += "_"
	}
	if len(m.previousPages) > 0 {
		line += fmt.Sprintf("  page %d", len(m.previousPages)+1)
	}
	if m.view == viewJobs && m.page != nil && m.page.After != "" {
		line += "  more: n"
	}
	return line
}

// headingLines returns the number of lines above the list of a view.
func (m *Model) headingLines() int {
	if m.view == viewOverview {
		return len(ledger.States) + 3
	}
	return 1
}

// cursorMark returns the prefix of a row, which marks the selected one.
func (m *Model) cursorMark(i int) string {
	if i == m.cursor {
		return "> "
	}
	return "  "
}

// tableLines returns the headings and rows of the view.
func (m *Model) tableLines() []string {
	page := m.page
	var out []string
	switch m.view {
	case viewOverview:
		for _, state := range ledger.States {
			note := ""
			switch {
			case page.JobsByState[state] == 0:
			case state == ledger.Stuck:
				note = "  <- look"
			case state == ledger.Unknown:
				note = "  <- not known, not fine"
			}
			out = append(out, fmt.Sprintf("  %-10s %8d jobs%s", state, page.JobsByState[state], note))
		}
		out = append(out, "", fmt.Sprintf("  %-26s %-16s %-12s %s", "STUCK, NOT KNOWN (of this page)", "TEAM", "CLASS", "WHY"))
		out = append(out, "")
		for i, row := range m.listedJobs() {
			out = append(out, fmt.Sprintf("%s%-26s %-16.16s %-12.12s %s", m.cursorMark(i), row.Job, row.Team, row.Class, row.Why))
		}
	case viewTeams, viewClasses:
		groups, name := page.Teams, "TEAM"
		if m.view == viewClasses {
			groups, name = page.Classes, "CLASS"
		}
		out = append(out, fmt.Sprintf("  %-24s %6s %6s %6s %6s %6s %6s %6s", name, "STUCK", "UNKNWN", "WAIT", "START", "RUN", "FAILED", "DONE"))
		for i, group := range m.listedNames() {
			sums := groups[group]
			out = append(out, fmt.Sprintf("%s%-24.24s %6d %6d %6d %6d %6d %6d %6d", m.cursorMark(i), group, sums[ledger.Stuck], sums[ledger.Unknown], sums[ledger.Waiting], sums[ledger.Starting], sums[ledger.Running], sums[ledger.Failed], sums[ledger.Done]))
		}
	case viewZones:
		out = append(out, fmt.Sprintf("  %-20s %6s %8s %8s %7s %8s %12s", "ZONE", "UP", "BOOTING", "DRAINED", "SILENT", "UNKNOWN", "GPUS USED"))
		for i, zone := range m.listedNames() {
			sums := page.Zones[zone]
			out = append(out, fmt.Sprintf("%s%-20.20s %6d %8d %8d %7d %8d %6g/%g", m.cursorMark(i), zone, sums.Up, sums.Booting, sums.Drained, sums.Silent, sums.Unknown, sums.Used, sums.GPUs))
		}
	case viewJobs:
		out = append(out, fmt.Sprintf("  %-20s %-12s %-10s %-9s %9s %5s  %s", "JOB", "TEAM", "CLASS", "STATE", "DONE", "RUN", "WHY"))
		for i, row := range page.Rows {
			out = append(out, fmt.Sprintf("%s%-20.20s %-12.12s %-10.10s %-9s %9s %5d  %s", m.cursorMark(i), row.Job, row.Team, row.Class, row.State, fmt.Sprintf("%d/%d", row.Done, row.Tasks), row.Running, row.Why))
		}
		if len(page.Rows) == 0 {
			out = append(out, "  no such jobs")
		}
	}
	return out
}
