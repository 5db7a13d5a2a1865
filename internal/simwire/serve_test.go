package simwire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math"
	"strings"
	"testing"

	"beechwing/balancer"
)

const testSettings = `{"Balancers": 2, "Me": 1, "Zone": 1, "Discovery": "ask", "Unknown": {"Key": [1, 2]},
 "Classes": [{"AimS": 1.0, "Credit": 2.0, "DeadlineS": 3.0, "DedupWindowS": 4.0, "Effect": "by_key",
 "Group": "cell", "LateWorth": 0.5}], "Limits": {"MaxAttempts": 6, "RetryAfter": true, "MaxRetryAfterS": 2.0},
 "Report": {"Columns": ["active", "cpu", "novel"], "How": "answers"}, "WorthBy": "work", "WeightKind": "rough",
 "Rules": {"AskWithinS": 10.0, "ColdFrom": 0.3, "ColdS": 9.0, "FallMultiple": 3.0, "StopSendingWithinS": 0.75,
 "TipAfterS": 1.0}, "Tenants": [{"QuotaRps": 33.0, "Share": 0.45}], "Prices": {"CrossZone": 0.03}}`

// hexBytes decodes hexadecimal text that may contain white space, the form of the protocol specification's examples.
func hexBytes(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(text), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// frame builds a batch from its records by adding the header.
func frame(now float64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	head := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	return append(binary.LittleEndian.AppendUint64(head, math.Float64bits(now)), body...)
}

// record encodes a record for an instance.
func record(code uint16, proxy uint32, rest ...any) []byte {
	var b bytes.Buffer
	for _, v := range append([]any{code, proxy}, rest...) {
		if err := binary.Write(&b, binary.LittleEndian, v); err != nil {
			panic(err)
		}
	}
	return b.Bytes()
}

func initRecord(proxy uint32, seed uint64, settings string) []byte {
	return record(evInit, proxy, seed, uint32(len(settings)), []byte(settings))
}

func serve(t testing.TB, in []byte) ([]byte, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(bytes.NewReader(in), &out)
	return out.Bytes(), err
}

// The examples of the protocol specification.
const (
	exampleCensus = `0a01 00 02000000
 0000000000000000 0a124a07 c32b 0000803f 0000 01 00 0000
 6666666666661840 0a9011f2 ec2b 0000c03f 0000 01 01 0000`
	exampleSync      = `0101 03000000 02 2900000000000000 00`
	exampleReq       = `0201 03000000 c4913a5d35790b00 0100 b81e85eb51b8ce3f fa7e6abc7493883f 00000000 00 640ad2557c3bf091`
	exampleTimer     = `0601 03000000 4d00000000000000`
	exampleCompleted = `0401 03000000 c4913a5d35790b00 00 8b6ce7fba9f1923f 0a124a07 c32b 0100 01 02 0000684152b81e3f`
)

// TestDecodeExamples decodes the events of the protocol specification's examples.
func TestDecodeExamples(t *testing.T) {
	r := reader{buf: hexBytes(t, exampleCensus)[7:]}
	first, second := r.entry(), r.entry()
	if r.err != nil || r.at != len(r.buf) {
		t.Fatalf("entries: %v at %d of %d", r.err, r.at, len(r.buf))
	}
	if first.Weight != 1 || first.Zone != 0 || first.Status != balancer.Ready || first.Started != 0 {
		t.Errorf("first entry %+v", first)
	}
	if second.Weight != 1.5 || second.Zone != 1 || second.Started < 6 || second.ID == first.ID {
		t.Errorf("second entry %+v", second)
	}
	r = reader{buf: hexBytes(t, exampleReq)[6:]}
	q, err := readRequest(&r)
	if err != nil || r.at != len(r.buf) {
		t.Fatalf("request: %v at %d of %d", err, r.at, len(r.buf))
	}
	if q.ID != 0x0b79355d3a91c4 || q.Budget < 0.2 || q.Budget > 0.3 || q.Work < 0.01 || q.Work > 0.02 ||
		q.Key != 0x91f03b7c55d20a64 {
		t.Errorf("request %+v", q)
	}
}

// TestEncodeExamples encodes the actions of the protocol specification's examples and compares the bytes.
func TestEncodeExamples(t *testing.T) {
	host := (&reader{buf: hexBytes(t, "0a124a07 c32b")}).host()
	for _, c := range []struct {
		name, want string
		act        func(balancer.Actions)
	}{
		{"call_out", "4801 03000000 c4913a5d35790b00 0a124a07 c32b 7b14ae47e17ab43f",
			func(a balancer.Actions) { a.Send(0x0b79355d3a91c4, host, 0.08) }},
		{"timer", "4301 03000000 000000000000e03f 4d00000000000000",
			func(a balancer.Actions) { a.Timer(0.5, 0x4d) }},
		{"trace", "4901 03000000 1100 74776f2073657276657273206b6e6f776e",
			func(a balancer.Actions) { a.Log("two servers known") }},
		{"post", "4b01 03000000 ffff 0400 68692037", func(a balancer.Actions) { a.Broadcast([]byte("hi 7")) }},
		{"bounce", "4401 03000000 c4913a5d35790b00 000000000000e03f",
			func(a balancer.Actions) { a.Refuse(0x0b79355d3a91c4, 0.5) }},
		{"end_failed", "4601 03000000 c4913a5d35790b00", func(a balancer.Actions) { a.Fail(0x0b79355d3a91c4) }},
		{"undo_send", "4701 03000000 c4913a5d35790b00 02",
			func(a balancer.Actions) { a.Cancel(0x0b79355d3a91c4, 2) }},
		{"check", "4101 03000000 0a124a07 c32b", func(a balancer.Actions) { a.Probe(host) }},
		{"keep_informed", "4201 03000000 01", func(a balancer.Actions) { a.Watch() }},
		{"resolve", "4001 03000000", func(a balancer.Actions) { a.Fetch() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			var w writer
			c.act(&instance{proxy: 3, out: &w})
			if want := hexBytes(t, c.want); !bytes.Equal(w.buf, want) {
				t.Fatalf("got %x, want %x", w.buf, want)
			}
		})
	}
}

// TestSession covers a host list, a request, its response, and a shutdown and restart within one batch.
func TestSession(t *testing.T) {
	start := func(proxy uint32) []byte { return initRecord(proxy, 9, testSettings) }
	in := bytes.Join([][]byte{
		frame(10),
		frame(11, start(3), hexBytes(t, exampleCensus), hexBytes(t, exampleSync), hexBytes(t, exampleReq)),
		frame(11.02, hexBytes(t, exampleCompleted), hexBytes(t, exampleTimer)),
		frame(11.5, record(evShutdown, 3), start(3), hexBytes(t, exampleSync)),
	}, nil)
	out, err := serve(t, in)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.HasPrefix(out, []byte{0, 0, 0, 0}) {
		t.Fatalf("the empty batch got %x", out[:4])
	}
	if !bytes.Contains(out, hexBytes(t, "4801 03000000 c4913a5d35790b00")) {
		t.Fatal("the request was not sent")
	}
	if n := bytes.Count(out, hexBytes(t, "4201 03000000 01")); n != 2 {
		t.Fatalf("%d subscriptions, want one for each start", n)
	}
}

// TestReusedList checks that a new list replaces an earlier one with the same number, also within one batch.
func TestReusedList(t *testing.T) {
	var s server
	later := bytes.Replace(hexBytes(t, exampleCensus), hexBytes(t, "0a124a07"), hexBytes(t, "0a0b0c0d"), 1)
	body := bytes.Join([][]byte{initRecord(3, 9, testSettings), hexBytes(t, exampleCensus),
		hexBytes(t, exampleSync), later}, nil)
	if _, err := s.batch(1, body); err != nil {
		t.Fatal(err)
	}
	if got := s.lists[0][0].ID >> 16; got != 0x0a0b0c0d {
		t.Fatalf("list 0 starts with %x", got)
	}
}

// TestMalformed checks that corrupt input gives an error that names its position, and never a crash.
func TestMalformed(t *testing.T) {
	start := initRecord(3, 9, testSettings)
	long := frame(1)
	binary.LittleEndian.PutUint32(long, 1<<31)
	for _, c := range []struct {
		name, want string
		in         []byte
	}{
		{"cut header", "batch 0: header", frame(1)[:5]},
		{"cut body", "batch 0: body of", frame(1, start)[:40]},
		{"length beyond sense", "header: length", long},
		{"clock not a number", "clock", frame(math.NaN())},
		{"unknown code", "code 999", frame(1, record(999, 3))},
		{"cut record", "cut short", frame(1, start, hexBytes(t, exampleReq)[:20])},
		{"list longer than the batch", "entries", frame(1, hexBytes(t, "0a01 00 ffffffff"))},
		{"list number out of range", "out of range", frame(1, hexBytes(t, "0a01 10 00000000"))},
		{"unknown status", "status", frame(1, bytes.Replace(hexBytes(t, exampleCensus),
			hexBytes(t, "0000 01 00 0000"), hexBytes(t, "0000 07 00 0000"), 1))},
		{"bad settings", "settings", frame(1, initRecord(3, 9, `{"Classes": 4}`))},
		{"unknown effect", "effect", frame(1, initRecord(3, 9, `{"Classes": [{"Effect": "maybe"}]}`))},
		{"instance not started", "never started", frame(1, record(evShutdown, 8))},
		{"unknown ending", "unknown result 9", frame(1, start, bytes.Replace(hexBytes(t, exampleCompleted),
			hexBytes(t, "c32b 0100"), hexBytes(t, "c32b 0900"), 1))},
		{"unknown list scope", "scope", frame(1, start, hexBytes(t, "0101 03000000 07 2900000000000000 00"))},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := serve(t, c.in); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want %q", err, c.want)
			}
		})
	}
}

// TestSpread checks that an instance behaves the same whether or not it shares its process with other instances.
func TestSpread(t *testing.T) {
	script := func(proxies ...uint32) []byte {
		var in []byte
		for step := range 50 {
			var records [][]byte
			for _, p := range proxies {
				if step == 0 {
					records = append(records, initRecord(p, uint64(p), testSettings), hexBytes(t, exampleCensus),
						record(evSync, p, uint8(1), uint64(1), uint8(0)))
				}
				records = append(records, record(evReq, p, uint64(step+1)*100+uint64(p), uint16(1), 2.0, 0.01,
					uint32(0), uint8(0), uint64(step)))
			}
			in = append(in, frame(float64(step)/10, records...)...)
		}
		out, err := serve(t, in)
		if err != nil {
			t.Fatal(err)
		}
		return out
	}
	alone := len(script(3)) + len(script(4)) - 50*replyHeader
	if both := len(script(3, 4)); both != alone {
		t.Fatalf("%d bytes together, %d apart", both, alone)
	}
}

// FuzzServe checks that no input crashes Serve and that every error has a text.
func FuzzServe(f *testing.F) {
	start := initRecord(3, 9, testSettings)
	f.Add(frame(1))
	f.Add(frame(1, start, hexBytes(f, exampleCensus), hexBytes(f, exampleSync), hexBytes(f, exampleReq)))
	f.Add(append(frame(1, start, hexBytes(f, exampleCensus), hexBytes(f, exampleSync), hexBytes(f, exampleReq)),
		frame(1.1, hexBytes(f, exampleCompleted), hexBytes(f, exampleTimer))...))
	f.Add(frame(1, initRecord(3, 9, `{}`), hexBytes(f, exampleReq), record(evWhisper, 3, uint32(1), uint16(0))))
	f.Fuzz(func(t *testing.T, in []byte) {
		var out bytes.Buffer
		if err := Serve(bytes.NewReader(in), &out); err != nil && err.Error() == "" {
			t.Fatal("error without a text")
		}
	})
}
