package protocol

import (
	"encoding/json"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const goodJob = `{"id":"job-000412","lot":"train","crew":"vision","shape":"gang","urgency":"high","pieces":16,
 "vcpus":8.0,"cards":1.0,"memGb":64.0,"bundle":"img-07","sizeGb":6.2,"builds":["g8"],"region":null,"together":true,
 "scatter":false,"loaners":true,"expectS":240.0,"snapshotS":30.0,"storeS":4.0,"dueS":900.0}`

func TestParseJob(t *testing.T) {
	s, err := ParseJob([]byte(goodJob))
	if err != nil {
		t.Fatal(err)
	}
	if s.Tasks != 16 || !s.OneZone || !s.Spot || s.Rank() != High || s.Zone != "" || *s.DeadlineS != 900 {
		t.Fatalf("read as %+v", s)
	}
	// What is stored and read again is the same job.
	again, err := ParseJob(append(mustMarshal(t, s)[:len(mustMarshal(t, s))-1], []byte(`,"together":true,"scatter":false,"loaners":true}`)...))
	if err != nil || again.Image != s.Image {
		t.Fatalf("stored form not understood: %v", err)
	}
}

func mustMarshal(t *testing.T, v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Every field that is missing, null, of another type or absurd is refused, and
// the refusal names it.
func TestParseJobRefusesBadFields(t *testing.T) {
	var good map[string]any
	if err := json.Unmarshal([]byte(goodJob), &good); err != nil {
		t.Fatal(err)
	}
	bad := map[string][]any{
		"id": {"job-", "job-x", "Job-1", 7, "job-1/2", "job-" + strings.Repeat("1", 40)}, "lot": {"", 1}, "crew": {"", true},
		"shape": {"ring", 1}, "urgency": {"urgent", ""}, "pieces": {0, -1, 100001, 1.5, "3"}, "vcpus": {-1, 1e12, "x"},
		"cards": {-0.5}, "memGb": {-1}, "bundle": {"", 3}, "sizeGb": {-1, []int{}}, "expectS": {-1}, "snapshotS": {-1},
		"storeS": {-1, 1e10}, "dueS": {-1, "soon"}, "together": {"yes"}, "scatter": {1}, "loaners": {"no"}, "builds": {"g8", []int{1}},
	}
	for _, f := range required {
		bad[f] = append(bad[f], nil)
	}
	for field, values := range bad {
		for _, v := range values {
			j := map[string]any{}
			for k, x := range good {
				j[k] = x
			}
			j[field] = v
			if _, err := ParseJob(mustMarshal(t, j)); err == nil || !strings.Contains(err.Error(), field) {
				t.Errorf("%s = %v: error %v does not name it", field, v, err)
			}
		}
	}
	for _, body := range []string{"", "[]", "7", "null", "{", `"x"`, strings.Repeat(" ", MaxBody+1)} {
		if _, err := ParseJob([]byte(body)); err == nil {
			t.Errorf("accepted %.20q", body)
		}
	}
}

func TestTaskIDs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.StringMatching(`job-[0-9]{1,12}`).Draw(t, "id")
		task := rapid.IntRange(0, MaxTasks-1).Draw(t, "task")
		if j, n, ok := ParseTaskID(TaskID(id, task)); !ok || j != id || n != task {
			t.Fatalf("%s/%d became %s/%d %v", id, task, j, n, ok)
		}
		if j, n, ok := ParseTaskID(rapid.String().Draw(t, "noise")); ok && (!ValidJobID(j) || n < 0 || n >= MaxTasks) {
			t.Fatalf("noise accepted as %s/%d", j, n)
		}
	})
}

func TestParseReportNeverAcceptsHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := `{"host":"host-1","endpoint":"10.1.0.2:9000","build":"g8","region":"a","loaners":true,"shift":1,"tally":88,"baton":41,"recallS":null,"pieces":[{"piece":"job-1/3","try":2,"status":"running"}]}`
		if _, err := ParseReport([]byte(body)); err != nil {
			t.Fatal(err)
		}
		cut := rapid.IntRange(0, len(body)-1).Draw(t, "cut")
		if _, err := ParseReport([]byte(body[:cut])); err == nil {
			t.Fatalf("accepted %q", body[:cut])
		}
	})
}

func TestSettingsNameEveryMistake(t *testing.T) {
	_, err := ParseSettings([]byte(`node = ""
api_addr = "nowhere"
[params.workers]
lease_s = 10.0
cancel_s = 5.0
`))
	if err == nil {
		t.Fatal("accepted")
	}
	for _, field := range []string{"node", "api_addr", "cluster_listen", "external.cloud", "params.teams", "report_s", "cancel_s", "quota.cores"} {
		if !strings.Contains(err.Error(), field) {
			t.Errorf("%s is not named in:\n%v", field, err)
		}
	}
}
