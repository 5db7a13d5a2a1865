package simwire

import (
	"encoding/json"
	"fmt"

	"beechwing/balancer"
)

// settings is the part of the start-up message that the balancer knows. Other keys are ignored.
type settings struct {
	Balancers int
	Classes   []struct {
		AimS, AimStretch, Credit, DeadlineS, DedupWindowS, LateWorth float64
		Effect, Group                                                string
	}
	Discovery  string
	FamilyInfo struct{ WarmKeys bool }
	Limits     struct {
		Cancelling, Peers, Probes, RetryAfter, SecondCopies bool
		ConnectTimeoutS, MaxRetryAfterS                     float64
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
	Tenants             []struct{ QuotaRps, Share float64 }
	WeightKind, WorthBy string
	Zone                int
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

// parseSettings translates the start-up message of one instance.
func parseSettings(text []byte, seed uint64) (balancer.Config, error) {
	s := settings{OverShareWorth: 1}
	if err := json.Unmarshal(text, &s); err != nil {
		return balancer.Config{}, fmt.Errorf("settings: %w", err)
	}
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
		effect, known := effects[k.Effect]
		if !known {
			return c, fmt.Errorf("settings: class %d has the unknown effect %q", i, k.Effect)
		}
		group, known := groups[k.Group]
		if !known {
			return c, fmt.Errorf("settings: class %d has the unknown group %q", i, k.Group)
		}
		c.Classes = append(c.Classes, balancer.Class{
			Aim: k.AimS, AimStretch: k.AimStretch, Deadline: k.DeadlineS, Worth: k.Credit,
			LateWorth: k.LateWorth, Effect: effect, Group: group, Window: k.DedupWindowS,
		})
	}
	for _, t := range s.Tenants {
		c.Tenants = append(c.Tenants, balancer.Tenant{Share: t.Share, Quota: t.QuotaRps})
	}
	if s.Report.How != "none" {
		for _, name := range s.Report.Columns {
			c.Report = append(c.Report, loads[name])
		}
	}
	return c, nil
}
