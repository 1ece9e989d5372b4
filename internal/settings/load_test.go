package settings_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mangopost/mangopost/finding"
	"github.com/mangopost/mangopost/internal/settings"
)

const validSettings = `[host]
name = "kl-1"
data_centre = "kl-utama"
region = "semenanjung"

[platform]
addr = "127.0.0.1:7000"

[[callers]]
listen = "127.0.0.1:7101"
trust_client_header = true

[[callers]]
listen = "127.0.0.1:7106"
client = "desk-um"
max_body_bytes = 2048

[router]
peers = "127.0.0.1:7102"
operators = "127.0.0.1:7103"

[placer]
peers = "127.0.0.1:7104"
operators = "127.0.0.1:7105"
seeds = ["127.0.0.1:7204"]

[peer_tls]
plain = true
`

func TestValidFileGetsDefaults(t *testing.T) {
	h, findings := settings.LoadBytes("host.toml", []byte(validSettings))
	assert.Equal(t, len(findings), 0, "%v", findings)
	assert.Equal(t, h.Identity.Cell, "kl-utama")
	assert.Equal(t, h.Callers[0].MaxBodyBytes, int64(settings.DefaultMaxBodyBytes))
	assert.Equal(t, h.Callers[1].MaxBodyBytes, int64(2048))
	assert.Equal(t, h.Log.Level, "info")
	assert.Equal(t, h.Limits.DedupBytes, int64(settings.DefaultDedupBytes))
	assert.DeepEqual(t, h.Placer.Seeds, []string{"127.0.0.1:7204"})
}

// TestAdvertiseDefaultsToPeersAddress checks that the advertised address is the
// peers' listening address unless the file sets another one, which may belong to
// any host, such as a relay.
func TestAdvertiseDefaultsToPeersAddress(t *testing.T) {
	h, findings := settings.LoadBytes("host.toml", []byte(validSettings))
	assert.Equal(t, len(findings), 0, "%v", findings)
	assert.Equal(t, h.Router.Advertise, "127.0.0.1:7102")
	assert.Equal(t, h.Placer.Advertise, "127.0.0.1:7104")
	text := strings.NewReplacer(
		`peers = "127.0.0.1:7102"`, "peers = \"0.0.0.0:7102\"\nadvertise = \"10.0.0.1:7102\"",
		`peers = "127.0.0.1:7104"`, "peers = \"[::]:7104\"\nadvertise = \"10.0.0.1:9104\"",
	).Replace(validSettings)
	h, findings = settings.LoadBytes("host.toml", []byte(text))
	assert.Equal(t, len(findings), 0, "%v", findings)
	assert.Equal(t, h.Router.Advertise, "10.0.0.1:7102")
	assert.Equal(t, h.Placer.Advertise, "10.0.0.1:9104")
}

func TestFindings(t *testing.T) {
	tests := []struct {
		name     string
		old, new string // replacement in validSettings
		want     []string
	}{
		{"unknown key", `region =`, "regoin =", []string{
			`host.toml:1:2: host.region: missing`,
			`host.toml:4:1: host.regoin: unknown key (did you mean "region"?)`,
		}},
		{"unknown table", `[peer_tls]`, "[peers_tls]", []string{
			`host.toml:1:1: peer_tls.ca: missing (a PEM file; or set plain = true)`,
			`host.toml:1:1: peer_tls.cert: missing (a PEM file; or set plain = true)`,
			`host.toml:1:1: peer_tls.key: missing (a PEM file; or set plain = true)`,
			`host.toml:27:2: peers_tls: unknown key (did you mean "peer_tls"?)`,
		}},
		{"host name as address", `"127.0.0.1:7000"`, `"platform:7000"`, []string{
			`host.toml:7:1: platform.addr: "platform:7000" is not an address (an IP number and a port, such as "127.0.0.1:7101")`,
		}},
		{"duplicate port", `peers = "127.0.0.1:7104"`, `peers = "0.0.0.0:7102"`, []string{
			`host.toml:23:1: placer.peers: 0.0.0.0:7102 is also the address of router.peers`,
		}},
		{"unit in value", `max_body_bytes = 2048`, `max_body_bytes = "2 KB"`, []string{
			`host.toml:16:1: callers[1].max_body_bytes: must be a whole number, not a string (write the number of bytes without a unit)`,
		}},
		{"out of range", `max_body_bytes = 2048`, `max_body_bytes = -1`, []string{
			`host.toml:16:1: callers[1].max_body_bytes: -1 is not between 0 and 67108864`,
		}},
		{"missing client", `client = "desk-um"`, ``, []string{
			`host.toml:13:3: callers[1].client: missing (name the client, or set trust_client_header = true)`,
		}},
		{"set twice", `region = "semenanjung"`, `name = "kl-2"`, []string{
			`host.toml:1:2: host.region: missing`,
			`host.toml:4:1: host.name: set twice; first in line 2`,
		}},
		{"bad seed", `["127.0.0.1:7204"]`, `["127.0.0.1:7204", "x"]`, []string{
			`host.toml:25:28: placer.seeds[1]: "x" is not an address (an IP number and a port, such as "127.0.0.1:7101")`,
		}},
		{"advertised address without a port", `peers = "127.0.0.1:7102"`, "peers = \"127.0.0.1:7102\"\nadvertise = \"10.0.0.1\"", []string{
			`host.toml:20:1: router.advertise: "10.0.0.1" is not an address (an IP number and a port, such as "127.0.0.1:7101")`,
		}},
		{"advertised address is unspecified", `peers = "127.0.0.1:7104"`, "peers = \"127.0.0.1:7104\"\nadvertise = \"0.0.0.0:7104\"", []string{
			`host.toml:24:1: placer.advertise: 0.0.0.0:7104 is unspecified and cannot be reached by others (the IP number at which other hosts reach this one)`,
		}},
		{"advertised IPv6 address is unspecified", `peers = "127.0.0.1:7102"`, "peers = \"127.0.0.1:7102\"\nadvertise = \"[::]:7102\"", []string{
			`host.toml:20:1: router.advertise: [::]:7102 is unspecified and cannot be reached by others (the IP number at which other hosts reach this one)`,
		}},
		{"advertised address is empty", `peers = "127.0.0.1:7102"`, "peers = \"127.0.0.1:7102\"\nadvertise = \"\"", []string{
			`host.toml:20:1: router.advertise: "" is not an address (an IP number and a port, such as "127.0.0.1:7101")`,
		}},
		{"unspecified listener without an advertised address", `peers = "127.0.0.1:7104"`, `peers = "0.0.0.0:7104"`, []string{
			`host.toml:22:2: placer.advertise: missing (the address at which other hosts reach 0.0.0.0:7104)`,
		}},
		{"value without quotes", `"127.0.0.1:7000"`, `127.0.0.1:7000`, []string{
			`host.toml:7:`,
		}},
		{"table in place of array", "[[callers]]\nlisten = \"127.0.0.1:7106\"", "[callers]\nlisten = \"127.0.0.1:7106\"", []string{
			`host.toml:13:2: callers: set twice; first in line 9`,
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(validSettings, test.old, test.new, 1)
			assert.Assert(t, text != validSettings)
			_, findings := settings.LoadBytes("host.toml", []byte(text))
			assertLines(t, findings, test.want)
		})
	}
}

// assertLines compares by prefix, as the TOML library's messages may change.
func assertLines(t *testing.T, findings []finding.Finding, want []string) {
	t.Helper()
	var got strings.Builder
	settings.Print(&got, findings)
	assert.Equal(t, len(findings), len(want), "%s", got.String())
	for i, f := range findings {
		assert.Assert(t, strings.HasPrefix(f.String(), want[i]), "got %q, want %q", f, want[i])
	}
}

func TestAllMistakesAreReported(t *testing.T) {
	text := strings.NewReplacer(
		`name = "kl-1"`, `name = kl-1`, // line 2: not TOML
		`"127.0.0.1:7000"`, `"127.0.0.1"`, // line 7: no port
		`[router]`, `[router`, // line 18: not TOML
		`"127.0.0.1:7105"`, `7105`, // line 24: wrong type
		`plain = true`, `plian = true`, // line 28: unknown
	).Replace(validSettings)
	_, findings := settings.LoadBytes("host.toml", []byte(text))
	lines := map[int]bool{}
	for _, f := range findings {
		lines[f.Line] = true
	}
	for _, line := range []int{2, 7, 18, 24, 28} {
		assert.Assert(t, lines[line], "line %d in %v", line, findings)
	}
	// A broken line is one finding: its key does not count as missing as well.
	assert.Equal(t, len(findings), 5+3, "%v", findings) // three TLS files
}

func TestMissingFileIsOneFinding(t *testing.T) {
	_, findings := settings.Load("no-such-file.toml")
	assert.Equal(t, len(findings), 1)
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[host]\nname = kl\n[[callers]\nlisten = \"\"\"\n"))
	f.Add([]byte("a.b = 1\na = {b = 2}\n[a]\n[[a.b]]\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, findings := settings.LoadBytes("host.toml", data)
		assert.Assert(t, h != nil)
		if len(findings) == 0 {
			assert.Assert(t, h.Identity.Name != "" && h.Platform.Addr != "" && len(h.Callers) > 0)
		}
		for _, x := range findings {
			assert.Assert(t, x.Line >= 1 && x.Column >= 1 && x.Message != "", "%+v", x)
		}
	})
}
