package failover

import (
	"fmt"
	"slices"
)

const (
	// A path is ejected when enough members report that they get no answer on it, and they are the majority of those
	// that tried it recently.
	minFailureStreak, minFailureStreakAlone = 4, 8 // lowest FailureStreak that counts: with several witnesses, and with one
	evidenceTTLSeconds                      = 2.0  // after which a failure or an answer is no longer evidence

	minEjectionSeconds, maxEjectionSeconds = 1.0, 30.0 // doubled each time while the last ejection is recent
	ejectionMemory                         = 3.0       // recent: up to 3 times its length plus 3 s after the last ramp step
	initialRampFraction, rampFactor        = 0.06, 2.5 // first fraction after an ejection, and its growth per step
	rampIntervalSeconds                    = 0.5       // of good answers between two ramp steps
	provenSeconds                          = 1.0       // for which an answer proves that a path works
)

// pathKey identifies the path from a source zone to a target zone.
type pathKey struct{ from, to string }

// pathState is the state of a path that was ejected at some time.
type pathState struct {
	ejected                       bool
	ejectedUntil, ejectionSeconds float64
	rampFraction                  float64 // 1: no restriction
	rampedAt                      float64 // when rampFraction last changed
}

// RequiredWitnesses returns how many members must report that a path is dead in a fleet of the given size. A lone
// member decides for itself. Two are needed in a small fleet. From five members on three are needed, so that two faulty
// members cannot move the others.
func RequiredWitnesses(members int) int {
	switch {
	case members <= 1:
		return 1
	case members < 5:
		return 2
	}
	return 3
}

// evidence is what members report about a path: how many get no answer (against), how many got none or one recently
// (witnesses), how many have a fresh answer (proven), and the sum of the failure streaks of those against.
type evidence struct{ against, witnesses, proven, failures int }

// gatherEvidence sums up the reports about each path and returns the number of witnesses that each source zone needs.
// Only members of the source zone count, because a decision moves only their own requests.
func (pl *Planner) gatherEvidence(now float64, members int) (found map[pathKey]evidence, needed map[string]int) {
	found, needed = map[pathKey]evidence{}, map[string]int{}
	for _, report := range pl.sortedReports {
		needed[report.Zone]++
	}
	for zone, n := range needed { // the few members of a small zone decide for their own requests
		needed[zone] = min(n, RequiredWitnesses(members))
	}
	for _, report := range pl.sortedReports {
		for _, stats := range report.Targets {
			key := pathKey{report.Zone, stats.Zone}
			sum := found[key]
			sum.add(&stats, now-report.receivedAt, needed[report.Zone])
			found[key] = sum
		}
	}
	return found, needed
}

func (e *evidence) add(stats *ZoneStats, age float64, need int) {
	sinceAnswer, sinceFailure := stats.SinceAnswer+age, stats.SinceFailure+age
	minStreak := minFailureStreak
	if need == 1 {
		minStreak = minFailureStreakAlone
	}
	failing := stats.FailureStreak >= minStreak && sinceFailure < evidenceTTLSeconds
	if failing || sinceAnswer < evidenceTTLSeconds {
		e.witnesses++
	}
	if failing {
		e.against++
		e.failures += stats.FailureStreak
	}
	if sinceAnswer < provenSeconds {
		e.proven++
	}
}

// updatePaths ejects paths and readmits them, and returns the reasons. Few members try a path that the plan does not
// use, so that a few false reports could close all such paths. Unused paths to other zones are therefore not ejected
// until they are used.
func (pl *Planner) updatePaths(now float64, zones []Zone, members int) (reasons []string) {
	found, needed := pl.gatherEvidence(now, members)
	for _, from := range zones {
		for _, to := range zones {
			key := pathKey{from.Name, to.Name}
			reported, state := found[key], pl.paths[key]
			dead := reported.against >= max(1, needed[from.Name]) && 2*reported.against > reported.witnesses &&
				(pl.pathsInUse[key] || key.from == key.to)
			switch {
			case dead && (state == nil || !state.ejected) && pl.hasAlternative(key, zones):
				pl.paths[key] = eject(now, state)
				reasons = append(reasons, fmt.Sprintf("%s cannot reach %s: %d of %d witnesses, %d lost in a row",
					key.from, key.to, reported.against, reported.witnesses, reported.failures))
			case state != nil:
				reasons = append(reasons, pl.readmit(now, key, state, reported)...)
			}
		}
	}
	return reasons
}

// eject returns the state of a path that is ejected now, for longer if it was ejected recently.
func eject(now float64, previous *pathState) *pathState {
	ejectionSeconds := minEjectionSeconds
	if previous != nil && now-previous.rampedAt < ejectionMemory*previous.ejectionSeconds+ejectionMemory {
		ejectionSeconds = min(maxEjectionSeconds, 2*previous.ejectionSeconds)
	}
	return &pathState{ejected: true, ejectedUntil: now + ejectionSeconds, ejectionSeconds: ejectionSeconds}
}

// readmit advances the state of a path that was ejected. After the ejection a few requests test the path, and more
// follow if the answers are good.
func (pl *Planner) readmit(now float64, key pathKey, state *pathState, reported evidence) (reasons []string) {
	switch {
	case state.ejected && now < state.ejectedUntil:
		return []string{fmt.Sprintf("%s leaves %s for %.1f s more", key.from, key.to, state.ejectedUntil-now)}
	case state.ejected:
		state.ejected, state.rampFraction, state.rampedAt = false, initialRampFraction, now
	case state.rampFraction >= 1:
		if now-state.rampedAt > ejectionMemory*state.ejectionSeconds+ejectionMemory {
			delete(pl.paths, key)
		}
		return nil
	case 2*reported.proven > reported.witnesses && pl.zones[key.to].load < loadThreshold[hard] &&
		now-state.rampedAt >= rampIntervalSeconds:
		state.rampFraction, state.rampedAt = min(1, state.rampFraction*rampFactor), now
	}
	return []string{fmt.Sprintf("%s tries %s with %.0f %%", key.from, key.to, 100*state.rampFraction)}
}

// hasAlternative reports whether the source has another path without restrictions. If all paths of a source fail, the
// fault is not in the paths.
func (pl *Planner) hasAlternative(key pathKey, zones []Zone) bool {
	return slices.ContainsFunc(zones, func(z Zone) bool {
		state := pl.paths[pathKey{key.from, z.Name}]
		return z.Name != key.to && z.WarmWeight > 0 && z.DrainedFraction < 1 && (state == nil || state.rampFraction >= 1)
	})
}

// pathLimit returns the fraction of the source's demand that a path may carry.
func (pl *Planner) pathLimit(key pathKey) float64 {
	state := pl.paths[key]
	if state == nil && !pl.pathsInUse[key] { // unused path: what the target zone's own members report applies
		state = pl.paths[pathKey{key.to, key.to}]
	}
	switch {
	case state == nil:
		return 1
	case state.ejected:
		return 0
	default:
		return state.rampFraction
	}
}
