package gateway

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The shipped examples are valid. For each invalid field the error has one line that names
// the field and its bounds.
func TestSettingsErrorsNameFieldAndBound(t *testing.T) {
	dir := filepath.Join("..", "..", "..", "examples", "gateway")
	for _, name := range []string{"gate", "quito", "xela"} {
		if _, _, err := ReadSettings(filepath.Join(dir, name+".toml")); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	good, err := os.ReadFile(filepath.Join(dir, "quito.toml"))
	if err != nil {
		t.Fatal(err)
	}
	settings, err := filepath.Abs(filepath.Join(dir, "quito-n-0.toml"))
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(good), `"quito-n-0.toml"`, `"`+settings+`"`, 1)
	for _, c := range []struct{ from, to, want string }{
		{`member = "quito"`, `member = "nobody"`, `member: "nobody" is not among the members`},
		{`cancel_s = 40.0`, `cancel_s = 24.0`, `lease_s: 8 must be below 7 (cancel_s 24 less workers_lease_s 10, controllers_s 3 and 4)`},
		{`workers_lease_s = 10.0`, `workers_lease_s = 5.0`, `workers_lease_s: the site's lease_s 10 must be at most that (5)`},
		{`workers_lease_s = 10.0`, "workers_lease_s = 10.0\ncontrollers_s = 0.5", `controllers_s: 0.5 is not within 1 to 30`},
		{`addr = "127.0.0.1:9001"`, `addr = "gate"`, `members[0].addr: not an address and port: "gate"`},
		{`name = "xela"`, `name = "gate"`, `members[2].name: missing or repeated: "gate"`},
		{`local = "127.0.0.1:9190"`, ``, `site.local: not an address and port: ""`},
		{`[site]`, "[route]\nopen_per_site = 0\n[site]", `route.open_per_site: 0 is not within 1 to`},
		{`[site]`, "[site]\npart = 2.0", `site.part: 2 is not within 0.01 to 0.9`},
		{`dir = "../../target/keys"`, ``, `keys.dir: missing`},
	} {
		if !strings.Contains(text, c.from) {
			t.Fatalf("the example has no %q", c.from)
		}
		path := filepath.Join(t.TempDir(), "m.toml")
		if err := os.WriteFile(path, []byte(strings.Replace(text, c.from, c.to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := ReadSettings(path); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.to, err, c.want)
		}
	}
}

// Settings that differ in a value that all members must share have different checksums.
// Addresses may differ.
func TestChecksum(t *testing.T) {
	path := filepath.Join("..", "..", "..", "examples", "gateway", "gate.toml")
	a, _, err := ReadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	b, _, _ := ReadSettings(path)
	b.Members[1].Addr = "10.0.0.1:1"
	if a.Checksum() != b.Checksum() {
		t.Error("the checksum depends on addresses")
	}
	b.LeaseS++
	if a.Checksum() == b.Checksum() {
		t.Error("the checksum does not depend on the lease")
	}
}
