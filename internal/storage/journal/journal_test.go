package journal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// openJournal opens a journal and returns its entries as a map.
func openJournal(t testing.TB, path string) (*Journal, map[string]string, uint32) {
	t.Helper()
	j, es, start, err := Open(path, "gate")
	if err != nil {
		t.Fatal(err)
	}
	m := map[string]string{}
	for _, e := range es {
		m[e.Key] = string(e.Value)
	}
	return j, m, start
}

// TestReadsBackWrites draws writes and reopenings: each opening reads the latest values, and its
// start number is higher than the one before.
func TestReadsBackWrites(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		path := filepath.Join(t.TempDir(), "j")
		want := map[string]string{}
		last := uint32(0)
		for range rapid.IntRange(1, 4).Draw(rt, "opens") {
			j, got, start := openJournal(t, path)
			if start <= last {
				rt.Fatalf("start %d after %d", start, last)
			}
			last = start
			if fmt.Sprint(got) != fmt.Sprint(want) {
				rt.Fatalf("%v, want %v", got, want)
			}
			for range rapid.IntRange(0, 3).Draw(rt, "writes") {
				var es []Entry
				for range rapid.IntRange(1, 5).Draw(rt, "entries") {
					e := Entry{Key: fmt.Sprintf("job-%d", rapid.IntRange(0, 9).Draw(rt, "id")), Value: []byte(rapid.String().Draw(rt, "value"))}
					es = append(es, e)
					want[e.Key] = string(e.Value)
				}
				if err := j.Write(es); err != nil {
					rt.Fatal(err)
				}
			}
			j.Close()
		}
	})
}

// TestDamageIsDetected flips one bit anywhere in the file. Either Open fails, or it reads
// exactly what was written (the bit was in a free page).
func TestDamageIsDetected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	j, _, _ := openJournal(t, path)
	want := map[string]string{}
	for i := range 60 {
		id, v := fmt.Sprintf("job-%d", i%40), strings.Repeat(fmt.Sprint(i), 30)
		want[id] = v
		if err := j.Write([]Entry{{Key: id, Value: []byte(v)}}); err != nil {
			t.Fatal(err)
		}
	}
	j.Close()
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	refused, same := 0, 0
	for try := range 400 {
		at := rng.IntN(len(whole))
		if try < 160 { // the two meta pages
			at = try%2*os.Getpagesize() + 16 + try/2
			if try/2 >= 64 {
				continue
			}
		}
		data := append([]byte(nil), whole...)
		data[at] ^= 1 << rng.IntN(8)
		broken := filepath.Join(t.TempDir(), "b")
		if err := os.WriteFile(broken, data, 0o600); err != nil {
			t.Fatal(err)
		}
		b, es, _, err := Open(broken, "gate")
		if err != nil {
			refused++
			continue
		}
		b.Close()
		got := map[string]string{}
		for _, e := range es {
			got[e.Key] = string(e.Value)
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("bit at %d: opened with %d values of %d", at, len(got), len(want))
		}
		same++
	}
	if refused < 100 {
		t.Errorf("%d refused, %d read without loss", refused, same)
	}
}

// TestTruncatedFile cuts the file at various lengths. Either Open fails with ErrDamaged, or it
// reads all values.
func TestTruncatedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	j, _, _ := openJournal(t, path)
	for i := range 200 {
		j.Write([]Entry{{Key: fmt.Sprintf("job-%d", i), Value: []byte(strings.Repeat("x", 300))}})
	}
	j.Close()
	whole, _ := os.ReadFile(path)
	for cut := len(whole) - 1; cut > 0; cut -= len(whole)/40 + 1 {
		broken := filepath.Join(t.TempDir(), "b")
		os.WriteFile(broken, whole[:cut], 0o600)
		b, es, _, err := Open(broken, "gate")
		if err != nil {
			if !errors.Is(err, ErrDamaged) {
				t.Errorf("cut at %d: %v", cut, err)
			}
			continue
		}
		b.Close()
		if len(es) != 200 {
			t.Errorf("cut at %d: %d values", cut, len(es))
		}
	}
}

func TestOpenRejectsSecondProcessAndOtherMember(t *testing.T) {
	path := filepath.Join(t.TempDir(), "j")
	j, _, _ := openJournal(t, path)
	if _, _, _, err := Open(path, "gate"); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Errorf("second opening: %v", err)
	}
	j.Close()
	if _, _, _, err := Open(path, "other"); err == nil || !strings.Contains(err.Error(), `belongs to member "gate"`) {
		t.Errorf("another member's: %v", err)
	}
}

// BenchmarkWrite measures the gain of group commit, by the number of jobs in one Write.
func BenchmarkWrite(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			j, _, _, err := Open(filepath.Join(b.TempDir(), "j"), "gate")
			if err != nil {
				b.Fatal(err)
			}
			defer j.Close()
			value := make([]byte, 600)
			for i := range b.N {
				var es []Entry
				for k := range n {
					es = append(es, Entry{Key: fmt.Sprintf("job-%d", i*n+k), Value: value})
				}
				if err := j.Write(es); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
