package report

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"dapplestage.example/dapplestage/internal/coordination/ledger"
)

// testData returns a report with n jobs of a team, spread over all states.
func testData(n int, team string) *Data {
	data := &Data{Node: "n-0", AsOf: 1_770_000_000_000, RememberedSince: 1_769_900_000_000, Zones: map[string]ledger.ZoneSums{"a": {Up: 3, Silent: 1, GPUs: 16, Used: 9}}}
	for i := range n {
		data.Rows = append(data.Rows, ledger.Row{Job: fmt.Sprintf("job-%06d", i), Team: team, Class: "album", State: ledger.States[i%len(ledger.States)], Why: "because", Tasks: 12, Done: 3, Zones: []string{"a"}, Submitted: 1, Since: 2, AsOf: 3, Node: "n-0"})
	}
	for i := range 120 {
		data.Samples = append(data.Samples, ledger.Sample{AtMS: int64(i) * 60000, Running: i, Waiting: 120 - i, Machines: 30})
	}
	data.Recount()
	return data
}

// Names are chosen by users: none of them may become markup in the page or a formula in a
// CSV cell.
func TestHostileNames(t *testing.T) {
	for _, name := range []string{`<script>alert(1)</script>`, `"><img src=x onerror=alert(1)>`, `=cmd|' /C calc'!A0`, "';--", "{{.D}}", "</style><b>"} {
		data := testData(9, name)
		data.Rows[0].Why, data.Rows[1].Ticket, data.Rows[2].Class, data.Rows[3].Zones, data.Unknown, data.Site = name, name, name, []string{name}, []string{name}, name
		data.Recount()
		var buffer bytes.Buffer
		if err := data.HTML(&buffer); err != nil {
			t.Fatal(err)
		}
		for _, bad := range []string{"<script>alert", "<img", "</style><b>"} {
			if strings.Contains(buffer.String(), bad) {
				t.Errorf("%q is in the page as markup", bad)
			}
		}
		buffer.Reset()
		data.CSV(&buffer)
		rows, err := csv.NewReader(&buffer).ReadAll()
		if err != nil || len(rows) != 10 {
			t.Fatal(err)
		}
		for _, cell := range rows[1] {
			if strings.HasPrefix(cell, "=") {
				t.Errorf("cell %q", cell)
			}
		}
	}
}

// The summary starts with what is not known, and never says that nothing is stuck while
// some jobs are unknown.
func TestSummaryNamesTheUnknown(t *testing.T) {
	data := testData(0, "red")
	data.JobsByState = map[string]int{ledger.Unknown: 3, ledger.Running: 5}
	data.Unknown = []string{"n-1 did not answer"}
	summary := strings.Join(data.Summary(), " ")
	if !strings.HasPrefix(summary, "3 jobs are not known") || strings.Contains(summary, "Nothing is stuck.") || !strings.Contains(summary, "Of what is known nothing is stuck") {
		t.Error(summary)
	}
	data.JobsByState, data.Unknown = map[string]int{ledger.Stuck: 1}, nil
	data.Teams = map[string]map[string]int{"shop-7": {ledger.Stuck: 1}}
	if summary := strings.Join(data.Summary(), " "); !strings.Contains(summary, "1 job is stuck, of shop-7.") {
		t.Error(summary)
	}
}

// A page of ten thousand jobs stays within 4 MiB, has a row for each job and needs no other
// resource.
func TestTenThousandJobs(t *testing.T) {
	data := testData(10000, "red")
	var buffer bytes.Buffer
	started := time.Now()
	if err := data.HTML(&buffer); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes in %v", buffer.Len(), time.Since(started))
	if path := os.Getenv("REPORT_OUT"); path != "" { // for manual inspection
		os.WriteFile(path, buffer.Bytes(), 0o644)
	}
	if buffer.Len() > 4<<20 || strings.Count(buffer.String(), "<tr class=") < 10000 {
		t.Errorf("%d bytes, %d rows", buffer.Len(), strings.Count(buffer.String(), "<tr class="))
	}
	if strings.Contains(buffer.String(), "http://") && strings.Contains(buffer.String(), "src=") {
		t.Error("the page refers to another resource")
	}
}

// A site that does not answer is shown as not known, next to one that answers.
func TestUnreachableSite(t *testing.T) {
	answering := testData(9, "red")
	answering.Site = "quito"
	var buffer bytes.Buffer
	if err := HTML(&buffer, answering, UnreachableSite("xela", time.UnixMilli(5), fmt.Errorf("no controller answers"))); err != nil {
		t.Fatal(err)
	}
	if page := buffer.String(); strings.Count(page, "Nothing is known of this site: no controller answers") != 1 || !strings.Contains(page, "1 job is stuck") || strings.Count(page, "<h2>Whose work") != 1 {
		t.Error(page)
	}
}

// A report that could not be written completely is reported as an error.
func TestFullDisk(t *testing.T) {
	data := testData(1000, "red")
	for _, write := range []func(io.Writer) error{data.HTML, data.CSV} {
		if err := write(&fullDisk{left: 5000}); err == nil {
			t.Error("no error for a truncated report")
		}
	}
}

// fullDisk is a writer that fails after a number of bytes.
type fullDisk struct{ left int }

func (w *fullDisk) Write(data []byte) (int, error) {
	if w.left -= len(data); w.left < 0 {
		return 0, fmt.Errorf("no space left on device")
	}
	return len(data), nil
}

// Several pages become one report, and jobs beyond the limit are counted as left out.
func TestCollect(t *testing.T) {
	all := testData(450, "red").Rows
	fetch := func(after string) (*ledger.Page, error) {
		page := ledger.NewPage("n-0", time.UnixMilli(5))
		query := ledger.Query{Limit: 200, After: after}
		for _, row := range all {
			page.Add(&query, row)
		}
		page.Unknown = []string{fmt.Sprintf("n-1 did not answer for %d s", len(after))}
		page.Finish(&query)
		return page, nil
	}
	report, err := Collect(fetch, nil, 1000)
	if err != nil || len(report.Rows) != 450 || report.Left != 0 || len(report.Unknown) != 1 || report.Rows[0].State != ledger.Stuck {
		t.Fatalf("%d rows, %d left out, %v, %v", len(report.Rows), report.Left, report.Unknown, err)
	}
	report.Recount()
	sum := 0
	for _, n := range report.JobsByState {
		sum += n
	}
	if sum != 450 {
		t.Errorf("%v", report.JobsByState)
	}
	// Only the given jobs stay, and those without a row are returned.
	if missing := report.KeepJobs([]string{report.Rows[7].Job, "job-900000", report.Rows[3].Job}); len(missing) != 1 || len(report.Rows) != 2 || report.JobsByState[report.Rows[0].State] == 0 {
		t.Errorf("missing %v, %d rows, %v", missing, len(report.Rows), report.JobsByState)
	}
	if report, _ := Collect(fetch, nil, 200); len(report.Rows) != 200 || report.Left != 250 {
		t.Errorf("%d rows, %d left out", len(report.Rows), report.Left)
	}
}

// The changes between two reports are jobs with another state, new jobs and missing jobs.
func TestCompare(t *testing.T) {
	before, after := testData(3, "red"), testData(4, "red")
	after.Rows[0].State = ledger.Done
	before.Rows = append(before.Rows, ledger.Row{Job: "job-9", State: ledger.Running})
	got := fmt.Sprint(Compare(before, after))
	for _, want := range []string{"{job-000000 red album stuck done because}", "{job-000003 red album  starting because}", "{job-9   running  not in the later report}"} {
		if !strings.Contains(got, want) {
			t.Errorf("%s lacks %s", got, want)
		}
	}
}

// A curve has a gap where samples are missing.
func TestPlotsHaveGaps(t *testing.T) {
	samples := []ledger.Sample{{AtMS: 0, Running: 1}, {AtMS: 60000, Running: 2}, {AtMS: 600000, Running: 3}, {AtMS: 660000, Running: 0}}
	document := string(plot("Tasks", samples, []curve{{"running", "#000", func(s *ledger.Sample) int { return s.Running }}}))
	if strings.Count(document, "<polyline") != 2 || !strings.HasPrefix(document, "<svg") {
		t.Error(document)
	}
}
