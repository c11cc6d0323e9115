package packed

import (
	"encoding/json"
	"strings"
	"testing"

	"dapplestage.example/dapplestage/internal/protocol"
	"dapplestage.example/dapplestage/internal/storage"
)

// ReadState reports a chunk under an invalid key as a problem, and ignores its contents.
func TestReadStateReportsInvalidChunkKeys(t *testing.T) {
	value := func(v any) []byte {
		data, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	spec := &protocol.JobSpec{ID: "job-1", Tasks: 2}
	done := value(protocol.Chunk{Done: [][2]int{{0, 0}}})
	for _, number := range []string{"-1", "0", "x"} {
		key := protocol.JobPrefix + "job-1/" + number
		s := ReadState([]storage.Item{
			{Key: protocol.JobKey("job-1"), Value: value(protocol.JobRecord{Spec: spec, NextAttempt: 1})},
			{Key: key, Value: done},
		}, Slots)
		if len(s.Problems) != 1 || s.Problems[0].Key != key || !strings.Contains(s.Problems[0].Reason, "not understood") {
			t.Errorf("chunk %q: problems %v, want one that says that it is not understood", number, s.Problems)
		}
		if j := s.Jobs["job-1"]; j.Done != 0 || j.Waiting != 2 {
			t.Errorf("chunk %q: %d tasks done and %d waiting, want none and 2", number, j.Done, j.Waiting)
		}
	}
}
