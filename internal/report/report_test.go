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

func testData(n int, team string) *Data {
	d := &Data{Node: "n-0", AsOf: 1_770_000_000_000, RememberedSince: 1_769_900_000_000, Zones: map[string]ledger.ZoneSums{"a": {Up: 3, Silent: 1, GPUs: 16, Used: 9}}}
	for i := range n {
		d.Rows = append(d.Rows, ledger.Row{Job: fmt.Sprintf("job-%06d", i), Team: team, Class: "album", State: ledger.States[i%len(ledger.States)], Why: "because", Tasks: 12, Done: 3, Zones: []string{"a"}, Submitted: 1, Since: 2, AsOf: 3, Node: "n-0"})
	}
	for i := range 120 {
		d.Samples = append(d.Samples, ledger.Sample{AtMS: int64(i) * 60000, Running: i, Waiting: 120 - i, Machines: 30})
	}
	d.Recount()
	return d
}

// Names are whatever users chose. Nothing of them is taken for markup, nor a cell for a
// formula.
func TestHostileNames(t *testing.T) {
	for _, name := range []string{`<script>alert(1)</script>`, `"><img src=x onerror=alert(1)>`, `=cmd|' /C calc'!A0`, "';--", "{{.D}}", "</style><b>"} {
		d := testData(9, name)
		d.Rows[0].Why, d.Rows[1].Ticket, d.Rows[2].Class, d.Rows[3].Zones, d.Unknown, d.Site = name, name, name, []string{name}, []string{name}, name
		d.Recount()
		var b bytes.Buffer
		if err := d.HTML(&b); err != nil {
			t.Fatal(err)
		}
		for _, bad := range []string{"<script>alert", "<img", "</style><b>"} {
			if strings.Contains(b.String(), bad) {
				t.Errorf("%q is in the page as markup", bad)
			}
		}
		b.Reset()
		d.CSV(&b)
		rows, err := csv.NewReader(&b).ReadAll()
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

// What is not known is said first, and never that nothing is stuck as if all were known.
func TestWordsDoNotCallTheUnknownFine(t *testing.T) {
	d := testData(0, "red")
	d.JobsByState = map[string]int{ledger.Unknown: 3, ledger.Running: 5}
	d.Unknown = []string{"n-1 did not answer"}
	words := strings.Join(d.Summary(), " ")
	if !strings.HasPrefix(words, "3 jobs are not known") || strings.Contains(words, "Nothing is stuck.") || !strings.Contains(words, "Of what is known nothing is stuck") {
		t.Error(words)
	}
	d.JobsByState, d.Unknown = map[string]int{ledger.Stuck: 1}, nil
	d.Teams = map[string]map[string]int{"shop-7": {ledger.Stuck: 1}}
	if words := strings.Join(d.Summary(), " "); !strings.Contains(words, "1 job is stuck, of shop-7.") {
		t.Error(words)
	}
}

// Ten thousand jobs are one page of a stated size, made in a stated time.
func TestTenThousandJobs(t *testing.T) {
	d := testData(10000, "red")
	var b bytes.Buffer
	from := time.Now()
	if err := d.HTML(&b); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes in %v", b.Len(), time.Since(from))
	if path := os.Getenv("REPORT_OUT"); path != "" { // to look at
		os.WriteFile(path, b.Bytes(), 0o644)
	}
	if b.Len() > 4<<20 || strings.Count(b.String(), "<tr class=") < 10000 {
		t.Errorf("%d bytes, %d rows", b.Len(), strings.Count(b.String(), "<tr class="))
	}
	if strings.Contains(b.String(), "http://") && strings.Contains(b.String(), "src=") {
		t.Error("the page needs something else to be read")
	}
}

// A site that does not answer is on the page as not known, beside one that does.
func TestLostSite(t *testing.T) {
	here := testData(9, "red")
	here.Site = "quito"
	var b bytes.Buffer
	if err := HTML(&b, here, UnreachableSite("xela", time.UnixMilli(5), fmt.Errorf("no controller answers"))); err != nil {
		t.Fatal(err)
	}
	if p := b.String(); strings.Count(p, "Nothing is known of this site: no controller answers") != 1 || !strings.Contains(p, "1 job is stuck") || strings.Count(p, "<h2>Whose work") != 1 {
		t.Error(p)
	}
}

// A full disk is told, and no half report is called whole.
func TestFullDisk(t *testing.T) {
	d := testData(1000, "red")
	for _, write := range []func(io.Writer) error{d.HTML, d.CSV} {
		if err := write(&fullDisk{left: 5000}); err == nil {
			t.Error("a report that was cut off is called written")
		}
	}
}

type fullDisk struct{ left int }

func (f *fullDisk) Write(p []byte) (int, error) {
	if f.left -= len(p); f.left < 0 {
		return 0, fmt.Errorf("no space left on device")
	}
	return len(p), nil
}

// Pages become one report; jobs beyond the limit are counted as left out.
func TestGather(t *testing.T) {
	all := testData(450, "red").Rows
	fetch := func(after string) (*ledger.Page, error) {
		p := ledger.NewPage("n-0", time.UnixMilli(5))
		q := ledger.Query{Limit: 200, After: after}
		for _, r := range all {
			p.Add(&q, r)
		}
		p.Unknown = []string{fmt.Sprintf("n-1 did not answer for %d s", len(after))}
		p.Finish(&q)
		return p, nil
	}
	d, err := Collect(fetch, nil, 1000)
	if err != nil || len(d.Rows) != 450 || d.Left != 0 || len(d.Unknown) != 1 || d.Rows[0].State != ledger.Stuck {
		t.Fatalf("%d rows, %d left out, %v, %v", len(d.Rows), d.Left, d.Unknown, err)
	}
	d.Recount()
	sum := 0
	for _, n := range d.JobsByState {
		sum += n
	}
	if sum != 450 {
		t.Errorf("%v", d.JobsByState)
	}
	// The jobs of one event, and what of them is not here.
	if left := d.KeepJobs([]string{d.Rows[7].Job, "job-900000", d.Rows[3].Job}); len(left) != 1 || len(d.Rows) != 2 || d.JobsByState[d.Rows[0].State] == 0 {
		t.Errorf("missing %v, %d rows, %v", left, len(d.Rows), d.JobsByState)
	}
	if d, _ := Collect(fetch, nil, 200); len(d.Rows) != 200 || d.Left != 250 {
		t.Errorf("%d rows, %d left out", len(d.Rows), d.Left)
	}
}

func TestCompare(t *testing.T) {
	a, b := testData(3, "red"), testData(4, "red")
	b.Rows[0].State = ledger.Done
	a.Rows = append(a.Rows, ledger.Row{Job: "job-9", State: ledger.Running})
	got := fmt.Sprint(Compare(a, b))
	for _, want := range []string{"{job-000000 red album stuck done because}", "{job-000003 red album  starting because}", "{job-9   running  not in the later report}"} {
		if !strings.Contains(got, want) {
			t.Errorf("%s lacks %s", got, want)
		}
	}
}

// Curves have a gap where nothing was seen.
func TestPlotsHaveGaps(t *testing.T) {
	ss := []ledger.Sample{{AtMS: 0, Running: 1}, {AtMS: 60000, Running: 2}, {AtMS: 600000, Running: 3}, {AtMS: 660000, Running: 0}}
	out := string(plot("Tasks", ss, []curve{{"running", "#000", func(s *ledger.Sample) int { return s.Running }}}))
	if strings.Count(out, "<polyline") != 2 || !strings.HasPrefix(out, "<svg") {
		t.Error(out)
	}
}
