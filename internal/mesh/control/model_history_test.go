package control

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// A run that failed is stored in testdata/histories as a list of steps: the operators' requests and the faults with their times.
// TestRecordedHistories replays the steps, so the run does not depend on the generator of steps.

// modelStep is a request of an operator or a fault.
type modelStep struct {
	At      float64  `json:"at"`
	Kind    stepKind `json:"kind"`
	Machine string   `json:"machine,omitempty"`
	Number  uint64   `json:"number,omitempty"`  // version of an order
	Variant int      `json:"variant,omitempty"` // an order's text; of a cut: 0 one way, 1 both ways
}

type stepKind string

const (
	stepOrder    stepKind = "order"
	stepRead     stepKind = "read"
	stepLossy    stepKind = "lossy" // starts or ends message loss
	stepCut      stepKind = "cut"
	stepHeal     stepKind = "join" // heals all cuts
	stepKill     stepKind = "kill"
	stepPowerOff stepKind = "power off"
	stepStart    stepKind = "start"
	stepLoseDisk stepKind = "lose disk"
	stepLeave    stepKind = "leave"
)

// modelHistory is a recorded run.
type modelHistory struct {
	About     string      `json:"about"`
	Seed      uint64      `json:"seed"` // for links, disks and clocks
	Tolerance int         `json:"tolerance"`
	Steps     []modelStep `json:"steps"`
}

// recordAndExecute records a step with the present time and executes it.
func (r *modelRun) recordAndExecute(step modelStep) {
	step.At = r.now
	r.steps = append(r.steps, step)
	r.execute(step)
}

func (r *modelRun) execute(step modelStep) {
	m := r.byName[step.Machine]
	switch step.Kind {
	case stepOrder:
		r.order(m, step.Number, step.Variant)
	case stepRead:
		r.read(m)
	case stepLossy:
		r.lossy = !r.lossy
	case stepCut:
		r.cutLinks(m, step.Variant == 0)
	case stepHeal:
		r.healCuts()
	case stepKill:
		if m.up {
			m.kill()
		}
	case stepPowerOff:
		if m.up {
			m.powerOff()
		}
	case stepStart:
		r.start(m)
	case stepLoseDisk:
		r.loseDisk(m)
	case stepLeave:
		r.leave(m)
	}
}

// record stores the steps of a failed run if MODEL_RECORD names a folder.
func (r *modelRun) record(t *testing.T) {
	dir := os.Getenv(modelRecordVariable)
	if dir == "" {
		return
	}
	text, err := json.MarshalIndent(modelHistory{About: r.orders.violation.Error(), Seed: r.seed, Tolerance: r.tolerance,
		Steps: r.steps}, "", " ")
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, fmt.Sprintf("seed-%d.json", r.seed)), text, 0o644)
	}
	if err != nil {
		t.Error(err)
	}
}

// TestRecordedHistories replays runs that failed once.
func TestRecordedHistories(t *testing.T) {
	files, err := filepath.Glob("testdata/histories/*.json")
	if err != nil || len(files) == 0 {
		t.Fatal(files, err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var h modelHistory
		if err := json.Unmarshal(text, &h); err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		var trace func(string, ...any)
		if os.Getenv(modelTraceVariable) != "" {
			trace = t.Logf
		}
		if violation := newModelRunFor(h.Seed, h.Tolerance, trace).replay(h.Steps); violation != nil {
			t.Errorf("%s (%s): %v", file, h.About, violation)
		}
	}
}
