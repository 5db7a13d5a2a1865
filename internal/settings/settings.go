// Package settings reads the JSON object that tells an instance how its site works. The simulator's first message
// and the configuration of a client proxy hold the same one.
package settings

import (
	"encoding/json"
	"fmt"

	"beechwing/balancer"
)

// Settings is the part of the object that beechwing knows. Other keys are ignored.
type Settings struct {
	Balancers  int
	Classes    []Class
	Dcs        []string
	Discovery  string
	FamilyInfo struct{ WarmKeys bool }
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

// Class is one kind of request.
type Class struct {
	AimS, AimStretch, Credit, DeadlineS, DedupWindowS, LateWorth float64
	Effect, Group, Name                                          string
}

// Tenant is a customer sharing the service.
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

var loads = map[string]balancer.Load{
	"active": balancer.LoadInflight, "waiting": balancer.LoadQueue, "cpu": balancer.LoadUtil,
	"avg_ms": balancer.LoadLatency, "rps": balancer.LoadRate, "err_rps": balancer.LoadErrors,
}

// Parse reads the object. What is left out keeps its zero value, except that work over a tenant's share then
// counts in full.
func Parse(text []byte) (*Settings, error) {
	s := &Settings{OverShareWorth: 1}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

// Config translates the settings into what a Balancer is told at start.
func (s *Settings) Config(seed uint64) (balancer.Config, error) {
	c := balancer.Config{
		Seed: seed, Me: s.Me, Balancers: s.Balancers, Zone: s.Zone,
		OverShareWorth: s.OverShareWorth, WorthByWork: s.WorthBy == "work",
		Weighted: s.WeightKind == "nominal" || s.WeightKind == "rough",
		WarmKeys: s.FamilyInfo.WarmKeys, AskForList: s.Discovery == "ask", Prices: s.Prices,
		MaxAttempts: s.Limits.MaxAttempts, SecondCopies: s.Limits.SecondCopies,
		Cancelling: s.Limits.Cancelling, Probes: s.Limits.Probes, PeerMessages: s.Limits.Peers,
		ConnectTimeout: s.Limits.ConnectTimeoutS, AskWithin: s.Rules.AskWithinS,
		DrainGrace: s.Rules.StopSendingWithinS, ColdFrom: s.Rules.ColdFrom, ColdFor: s.Rules.ColdS,
		FallMultiple: s.Rules.FallMultiple, FallAfter: s.Rules.TipAfterS,
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

// Columns names the values of a load report; there are none where hosts do not report.
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
