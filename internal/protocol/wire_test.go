package protocol

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
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
	// The stored form reads as the same job.
	again, err := ParseJob(append(mustMarshal(t, s)[:len(mustMarshal(t, s))-1], []byte(`,"together":true,"scatter":false,"loaners":true}`)...))
	if err != nil || again.Image != s.Image {
		t.Fatalf("stored form not read: %v", err)
	}
}

func mustMarshal(t *testing.T, v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A submission with a field that is missing, null, of another type or out of range is
// rejected, and the error names the field.
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
	for _, f := range requiredFields {
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
	for _, body := range []string{"", "[]", "7", "null", "{", `"x"`, strings.Repeat(" ", MaxBodyBytes+1)} {
		if _, err := ParseJob([]byte(body)); err == nil {
			t.Errorf("accepted %.20q", body)
		}
	}
}

// Invalid values for the kinds of fields of a submission.
var (
	notText    = []string{`1`, `true`, `[]`, `{}`, `""`}
	notAmount  = []string{`"1"`, `true`, `[]`, `{}`, `-1`, `-0.001`, `1e10`, `1e400`}
	notCount   = []string{`"1"`, `true`, `[]`, `{}`, `0`, `-1`, `1.5`, `100001`, `18446744073709551616`}
	notBoolean = []string{`"true"`, `0`, `1`, `[]`, `{}`, `""`}
	notNames   = []string{`"g8"`, `1`, `true`, `{}`, `[]`, `[""]`, `[null]`, `[1]`, `["g8",""]`}
)

// submissionFields are the fields of POST /api/jobs as PROTOCOL lists them, with valid and
// invalid values.
var submissionFields = []struct {
	name     string
	nullable bool
	good     []string
	bad      []string
}{
	{"id", false, []string{`"job-0"`, `"job-999999"`}, append([]string{`"job"`, `"job-"`, `"job-1a"`, `"JOB-1"`, `"job-1 "`, `"job-1/0"`}, notText...)},
	{"lot", false, []string{`"x"`}, notText},
	{"crew", false, []string{`"x"`}, notText},
	{"shape", false, []string{`"sweep"`, `"gang"`, `"standing"`}, append([]string{`"Gang"`, `"array"`}, notText...)},
	{"urgency", false, []string{`"critical"`, `"high"`, `"standard"`, `"best_effort"`}, append([]string{`"low"`}, notText...)},
	{"pieces", false, []string{`1`, `100000`}, notCount},
	{"vcpus", false, []string{`0`, `0.5`, `8`}, notAmount},
	{"cards", false, []string{`0`, `0.25`, `8`}, notAmount},
	{"memGb", false, []string{`0`, `64.5`}, notAmount},
	{"bundle", false, []string{`"x"`}, notText},
	{"sizeGb", false, []string{`0`, `6.2`}, notAmount},
	{"builds", true, []string{`["g8"]`, `["g4","g8"]`}, notNames},
	{"region", true, []string{`"a"`}, notText},
	{"together", false, []string{`true`, `false`}, notBoolean},
	{"scatter", false, []string{`true`, `false`}, notBoolean},
	{"loaners", false, []string{`true`, `false`}, notBoolean},
	{"expectS", false, []string{`0`, `240.5`}, notAmount},
	{"snapshotS", false, []string{`0`, `30`}, notAmount},
	{"storeS", false, []string{`0`, `4`}, notAmount},
	{"dueS", true, []string{`0`, `900.5`}, notAmount},
}

// Guards against silently accepted fields: a field that is missing, null where that is not
// allowed, of another type or out of range is rejected, and the error names it. Nullable
// fields may be missing. Unknown fields, also those that differ from a known one in case
// only, change nothing.
func TestSubmissionFields(t *testing.T) {
	var good map[string]json.RawMessage
	if err := json.Unmarshal([]byte(goodJob), &good); err != nil {
		t.Fatal(err)
	}
	if len(good) != len(submissionFields) {
		t.Fatalf("%d fields, PROTOCOL has %d", len(good), len(submissionFields))
	}
	with := func(name, value string) []byte {
		changed := maps.Clone(good)
		if delete(changed, name); value != "" {
			changed[name] = json.RawMessage(value)
		}
		return mustMarshal(t, changed)
	}
	want, err := ParseJob([]byte(goodJob))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range submissionFields {
		refused := func(value string) {
			if _, err := ParseJob(with(f.name, value)); err == nil || !strings.Contains(err.Error(), f.name) {
				t.Errorf("%s = %q: error %v does not name it", f.name, value, err)
			}
		}
		accepted := func(value string) {
			if _, err := ParseJob(with(f.name, value)); err != nil {
				t.Errorf("%s = %q: %v", f.name, value, err)
			}
		}
		for _, value := range []string{"", "null"} {
			if f.nullable {
				accepted(value)
			} else {
				refused(value)
			}
		}
		for _, value := range f.good {
			accepted(value)
		}
		for _, value := range f.bad {
			refused(value)
		}
		if _, err := ParseJob(bytes.Replace([]byte(goodJob), []byte(`"`+f.name+`"`), []byte(`"`+strings.ToUpper(f.name)+`"`), 1)); (err == nil) != f.nullable {
			t.Errorf("%s given in upper case only: %v", f.name, err)
		}
		for _, value := range append(f.bad, "null") {
			body := fmt.Sprintf(`%s,%q:%s}`, strings.TrimSuffix(goodJob, "}"), strings.ToUpper(f.name), value)
			if got, err := ParseJob([]byte(body)); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("with an additional field %s = %s: %+v, %v", strings.ToUpper(f.name), value, got, err)
			}
		}
	}
	for _, body := range []string{goodJob + "x", goodJob + goodJob, "[" + goodJob + "]", goodJob[:len(goodJob)-1]} {
		if _, err := ParseJob([]byte(body)); err == nil {
			t.Errorf("accepted %.400q", body)
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

// Guards against truncated reports that are read as complete ones.
func TestParseReportRejectsTruncated(t *testing.T) {
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

func TestSettingsErrorsNameFields(t *testing.T) {
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
