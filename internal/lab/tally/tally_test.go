package tally

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestFolder reads the logs of two proxies, one with seconds of the day as a prefix of its lines and one without. Lines that
// cannot be parsed are skipped and counted.
func TestFolder(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"a.log": `0.010 {"msg":"listening"}
1.1 {"msg":"accepted","from":"127.0.0.1:9"}
1.1 {"msg":"accepted","from":"127.0.0.1:10"}
1.1 {"msg":"request read","id":"x"}
1.9 {"msg":"connection ended","from":"127.0.0.1:9"}
1.2 {"msg":"attempt","host":"h1","attempt":0,"result":"error"}
1.3 {"msg":"attempt","host":"h1","attempt":1,"took":0.25,"result":"timed out"}
1.4 {"msg":"attempt","host":"h1","attempt":0,"result":"ok"}
1.5 {"msg":"answered","status":503}
1.6 {"msg":"list call","error":"answered 503"}
1.65 {"msg":"list call","left":true,"error":"i/o timeout"}
1.7 {"msg":"ejected 12 until 3.0"}
1.8 {"msg":
panic: not a log line`,
		"b.log": `{"ts":"2026-01-01T00:00:00.000Z","msg":"answered","status":200}
{"ts":"2026-01-01T00:00:01.500Z","msg":"attempt","host":"h1","result":"error"}
{"ts":"2026-01-01T00:00:01.500Z","msg":"list call","took":0.1}
`,
		"c.txt": "1.0 {\"msg\":\"listening\"}\n",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	table, err := Folder(dir)
	if err != nil {
		t.Fatal(err)
	}
	s := table.Seconds[1]
	if table.Skipped != 2 || table.Seconds[0].Starts != 1 || table.Seconds[0].Served != 1 {
		t.Errorf("skipped %d, second 0: %+v", table.Skipped, table.Seconds[0])
	}
	if s.Attempts != 4 || s.Retries != 1 || s.Results["error"] != 2 || s.BadHosts != 1 || s.BadHostAttempts != 4 || s.Refused != 1 ||
		s.ListOK != 1 || s.ListFailed != 1 || s.ListLeft != 1 || s.Ejections != 1 {
		t.Errorf("second 1: %+v", s)
	}
	if s.Accepted != 2 || s.Read != 1 || s.Ended != 1 {
		t.Errorf("connections of second 1: %+v", s)
	}
	var byHost strings.Builder
	if err := table.WriteHosts(&byHost); err != nil || !strings.Contains(byHost.String(), "h1         4          1") {
		t.Errorf("%v\n%s", err, byHost.String())
	}
	var out strings.Builder
	if err := table.Write(&out); err != nil || strings.Count(out.String(), "\n") != 3 {
		t.Errorf("%v\n%s", err, out.String())
	}
	if _, err := Folder(filepath.Join(dir, "none")); err == nil {
		t.Error("no error for a folder without logs")
	}
}
