// Package settings reads the JSON object that describes a deployment to a balancer: request classes, limits, rules and load
// reports. The simulator's first message and the configuration file of a proxy contain the same object. Parse reads the
// object into Settings, and Settings.Config converts it to a balancer.Config.
package settings

import (
	"encoding/json"
	"fmt"

	"beechwing/balancer"
)

// Settings is the part of the JSON object that beechwing uses. Other keys are ignored. The field names are the JSON keys; a
// field whose name ends in S is in seconds.
type Settings struct {
	Balancers  int
	Classes    []Class
	Dcs        []string
	Discovery  string
	FamilyInfo struct{ WarmKeys bool }
	Goal       struct{ Punctual, MissAllowed float64 }
	Limits     struct {
		Cancelling, Peers, Probes, RetryAfter, SecondCopies bool
		ConnIdleS, ConnectTimeoutS, MaxRetryAfterS          float64
		MaxAttempts                                         int
	}
	Me             int
	OverShareWorth float64
	Prices         balancer.Prices
	Report         struct {
		Columns []string
		How     string
	}
	Rules struct {
		AskWithinS, ColdFrom, ColdS, FallMultiple, StopSendingWithinS, TipAfterS float64
	}
	Tenants             []Tenant
	WeightKind, WorthBy string
	Zone                int
}

// Class describes one class of requests.
type Class struct {
	AimS, AimStretch, Credit, DeadlineS, DedupWindowS, LateWorth float64
	Effect, Group, Name                                          string
}

// Tenant describes one customer of the service.
type Tenant struct {
	Name            string
	QuotaRps, Share float64
}

var effects = map[string]balancer.Effect{
	"repeatable": balancer.Safe, "by_key": balancer.Keyed, "once": balancer.Unsafe,
}

var groups = map[string]balancer.Group{
	"": balancer.GroupAll, "all": balancer.GroupAll, "zone": balancer.GroupZone, "cell": balancer.GroupCell,
}

var loads = map[string]balancer.LoadMetric{
	"active": balancer.LoadInflight, "waiting": balancer.LoadQueue, "cpu": balancer.LoadUtil,
	"avg_ms": balancer.LoadLatency, "rps": balancer.LoadRate, "err_rps": balancer.LoadErrors,
}

// Parse reads the JSON object. A missing field keeps its zero value. The exception is OverShareWorth, which defaults to 1, so
// that requests beyond a tenant's share count in full.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{OverShareWorth: 1}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

// numericField is a numeric setting; isShare marks a value that must be between 0 and 1.
type numericField struct {
	name    string
	value   float64
	isShare bool
}

// check returns an error for the first number that is negative, or that is a share and greater than 1, and for a Zone that is
// not an index into Dcs.
func (s *Settings) check() error {
	l, r := &s.Limits, &s.Rules
	all := []numericField{
		{"Balancers", float64(s.Balancers), false}, {"Zone", float64(s.Zone), false}, {"Me", float64(s.Me), false},
		{"Goal.Punctual", s.Goal.Punctual, false}, {"Goal.MissAllowed", s.Goal.MissAllowed, true},
		{"Limits.MaxAttempts", float64(l.MaxAttempts), false}, {"Limits.ConnIdleS", l.ConnIdleS, false},
		{"Limits.ConnectTimeoutS", l.ConnectTimeoutS, false}, {"Limits.MaxRetryAfterS", l.MaxRetryAfterS, false},
		{"Rules.AskWithinS", r.AskWithinS, false}, {"Rules.ColdFrom", r.ColdFrom, true}, {"Rules.ColdS", r.ColdS, false},
		{"Rules.FallMultiple", r.FallMultiple, false}, {"Rules.StopSendingWithinS", r.StopSendingWithinS, false},
		{"Rules.TipAfterS", r.TipAfterS, false}, {"OverShareWorth", s.OverShareWorth, false},
		{"Prices.CrossZone", s.Prices.CrossZone, false},
	}
	for i, k := range s.Classes {
		at := fmt.Sprintf("class %d: ", i)
		all = append(all, numericField{at + "AimS", k.AimS, false}, numericField{at + "AimStretch", k.AimStretch, false},
			numericField{at + "DeadlineS", k.DeadlineS, false}, numericField{at + "Credit", k.Credit, false},
			numericField{at + "LateWorth", k.LateWorth, true}, numericField{at + "DedupWindowS", k.DedupWindowS, false})
	}
	for _, n := range all {
		if n.value < 0 || n.isShare && n.value > 1 {
			return fmt.Errorf("%s is %v, out of range", n.name, n.value)
		}
	}
	if len(s.Dcs) > 0 && s.Zone >= len(s.Dcs) {
		return fmt.Errorf("field Zone is %d, of %d in Dcs", s.Zone, len(s.Dcs))
	}
	return nil
}

// Config converts the settings to the configuration of a Balancer.
func (s *Settings) Config(seed uint64) (balancer.Config, error) {
	c := balancer.Config{
		Seed: seed, Me: s.Me, Balancers: s.Balancers, Zone: s.Zone,
		OverShareWorth: s.OverShareWorth, WorthByWork: s.WorthBy == "work",
		Weighted: s.WeightKind == "nominal" || s.WeightKind == "rough",
		WarmKeys: s.FamilyInfo.WarmKeys, AskForList: s.Discovery == "ask", Prices: s.Prices,
		Punctual: s.Goal.Punctual, MissAllowed: s.Goal.MissAllowed,
		MaxAttempts: s.Limits.MaxAttempts, SecondCopies: s.Limits.SecondCopies,
		Cancelling: s.Limits.Cancelling, Probes: s.Limits.Probes, PeerMessages: s.Limits.Peers,
		ConnectTimeout: s.Limits.ConnectTimeoutS, AskWithin: s.Rules.AskWithinS,
		DrainGrace: s.Rules.StopSendingWithinS, ColdFrom: s.Rules.ColdFrom, ColdFor: s.Rules.ColdS,
		FallMultiple: s.Rules.FallMultiple, FallAfter: s.Rules.TipAfterS,
	}
	if err := s.check(); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if s.Limits.RetryAfter {
		c.MaxCoolDown = s.Limits.MaxRetryAfterS
	}
	for i, k := range s.Classes {
		class, err := k.class()
		if err != nil {
			return c, fmt.Errorf("settings: class %d: %w", i, err)
		}
		c.Classes = append(c.Classes, class)
	}
	for _, t := range s.Tenants {
		c.Tenants = append(c.Tenants, balancer.Tenant{Share: t.Share, Quota: t.QuotaRps})
	}
	for _, name := range s.Columns() {
		c.Report = append(c.Report, loads[name])
	}
	return c, nil
}

// Columns returns the names of a load report's values. It returns nil if hosts do not report their load.
func (s *Settings) Columns() []string {
	if s.Report.How == "none" {
		return nil
	}
	return s.Report.Columns
}

func (k *Class) class() (balancer.Class, error) {
	effect, known := effects[k.Effect]
	if !known {
		return balancer.Class{}, fmt.Errorf("unknown effect %q", k.Effect)
	}
	group, known := groups[k.Group]
	if !known {
		return balancer.Class{}, fmt.Errorf("unknown group %q", k.Group)
	}
	return balancer.Class{
		Aim: k.AimS, AimStretch: k.AimStretch, Deadline: k.DeadlineS, Worth: k.Credit,
		LateWorth: k.LateWorth, Effect: effect, Group: group, Window: k.DedupWindowS,
	}, nil
}
