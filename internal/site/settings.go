package site

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"stoatdale.example/stoatdale/internal/router"
)

const nano = 1e-9

// Settings is what a router reads from the settings document.
type Settings struct {
	router.Config
	GroupNames       []string // of the command groups
	Zones            []string
	ReportFields     []string // of a load report
	ReportsOnAnswers bool     // answers hold reports, not only probes
	PositionZeroNs   float64  // the time from which positions count, on the settings' clock
	BackendIdle      float64  // a member closes a connection that stood idle for so many seconds
	DrainGrace       float64  // after a member is told to drain or be gone nothing new goes to it beyond so many seconds; 0: not told
}

// settingsDocument is the part of the settings that is read.
type settingsDocument struct {
	Routers int      `json:"balancers"`
	Me      int      `json:"me"`
	Zone    int      `json:"zone"`
	Zones   []string `json:"zones"`
	Classes []struct {
		Name   string  `json:"name"`
		Effect string  `json:"effect"`
		Scope  string  `json:"keyScope"`
		Target float64 `json:"targetNs"`
		Limit  float64 `json:"deadlineNs"`
		Worth  float64 `json:"worth"`
		Late   float64 `json:"lateWorth"`
		Memory float64 `json:"memorySpanNs"`
	} `json:"classes"`
	Goal struct {
		Whole float64 `json:"whole"`
		Worst float64 `json:"worstClass"`
	} `json:"scoreParts"`
	Tick      float64 `json:"tickNs"`
	Discovery string  `json:"discovery"`
	Family    struct {
		Zero   float64   `json:"zeroNs"`
		Tokens string    `json:"tokens"`
		Guards string    `json:"guards"`
		Needs  []string  `json:"needsByClass"`
		Bounds []float64 `json:"classBoundNs"`
	} `json:"familyInfo"`
	Load struct {
		Source string   `json:"source"`
		Fields []string `json:"fields"`
	} `json:"loadInfo"`
	Limits struct {
		Cancel    bool    `json:"cancel"`
		Probes    bool    `json:"probes"`
		Advice    bool    `json:"retryAfter"`
		MaxAdvice float64 `json:"maxRetryAfterNs"`
		Tries     int     `json:"mostTries"`
		Dial      float64 `json:"dialTimeoutNs"`
		Idle      float64 `json:"connIdleNs"`
	} `json:"limits"`
	Rules struct {
		AskWithin float64 `json:"askWithinNs"`
		Soft      bool    `json:"softRemoval"`
		Grace     float64 `json:"stopSendingWithinNs"`
		Cold      float64 `json:"startCapacity"`
		Warm      float64 `json:"rampTimeNs"`
		Overload  float64 `json:"overloadFactor"`
		Fall      float64 `json:"fallNs"`
	} `json:"invariants"`
}

// The wire's words.
var (
	needs = map[string]router.Consistency{"mutate": router.PrimaryOnly, "strong": router.Linearizable,
		"causal": router.SessionConsistent, "lag_bound": router.BoundedStaleness, "eventual": router.Eventual}
	effects = map[string]router.Idempotency{"pure": router.Idempotent, "token": router.IdempotentWithKey,
		"side_effect": router.NonIdempotent}
	scopes  = map[string]router.KeyScope{"cell": router.ShardScope, "zone": router.ZoneScope, "all": router.GlobalScope}
	brought = map[string]bool{"brought": true, "kept": false}
	guarded = map[string]bool{"none": false, "bounce": true, "await": true}
)

// word translates one of the wire's words and notes the first that is unknown.
func word[T any](err *error, field, w string, known map[string]T) T {
	v, ok := known[w]
	if !ok && *err == nil {
		*err = fmt.Errorf("settings: %s: unknown word %q", field, w)
	}
	return v
}

// ParseSettings decodes settings. Its errors name the key at fault; unknown keys are skipped.
func ParseSettings(raw []byte) (Settings, error) {
	p := settingsDocument{Zone: -1}
	if err := json.Unmarshal(raw, &p); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	if len(p.Classes) == 0 {
		return Settings{}, errors.New("settings: classes is missing or empty")
	}
	if len(p.Family.Needs) != len(p.Classes) {
		return Settings{}, fmt.Errorf("settings: familyInfo.needsByClass holds %d of %d classes",
			len(p.Family.Needs), len(p.Classes))
	}
	var err error
	s := router.Config{
		RouterCount: p.Routers, Instance: p.Me, Zone: p.Zone, TotalWeight: p.Goal.Whole, WorstGroupWeight: p.Goal.Worst, BatchInterval: p.Tick * nano,
		ClientTokens:       word(&err, "familyInfo.tokens", p.Family.Tokens, brought),
		ReplicasCheckReads: word(&err, "familyInfo.guards", p.Family.Guards, guarded),
		PollList:           p.Discovery == "ask", PollWindow: p.Rules.AskWithin * nano, SoftRemoval: p.Rules.Soft,
		CanCancel: p.Limits.Cancel, HealthChecks: p.Limits.Probes,
		RetryAfterAllowed: p.Limits.Advice, MaxRetryAfter: p.Limits.MaxAdvice * nano,
		MaxAttempts: p.Limits.Tries, ConnectTimeout: p.Limits.Dial * nano,
		SlowStartFloor: p.Rules.Cold, SlowStart: p.Rules.Warm * nano, OverloadFactor: p.Rules.Overload,
		OverloadWindow: p.Rules.Fall * nano,
	}
	var names []string
	for i, c := range p.Classes {
		names = append(names, c.Name)
		at := fmt.Sprintf("classes[%d]", i)
		if c.Target <= 0 || c.Limit <= 0 {
			return Settings{}, fmt.Errorf("settings: %s: targetNs and deadlineNs must be above 0", at)
		}
		g := router.CommandGroup{Consistency: word(&err, "familyInfo.needsByClass", p.Family.Needs[i], needs),
			Idempotency:      word(&err, at+".effect", c.Effect, effects),
			LatencyObjective: c.Target * nano, ClientTimeout: c.Limit * nano, PriorityWeight: c.Worth, LateValue: c.Late,
			IdempotencyWindow: c.Memory * nano}
		if g.Idempotency == router.IdempotentWithKey {
			g.KeyScope = word(&err, at+".keyScope", c.Scope, scopes)
		}
		if i < len(p.Family.Bounds) {
			g.MaxStaleness = p.Family.Bounds[i] * nano
		}
		s.CommandGroups = append(s.CommandGroups, g)
	}
	told := map[string]bool{}
	for _, f := range p.Load.Fields {
		told[f] = true
	}
	s.LoadReports = p.Load.Source != "none" && told["x0"] && told["x1"]
	return Settings{Config: s, GroupNames: names, Zones: p.Zones, ReportFields: p.Load.Fields, ReportsOnAnswers: p.Load.Source == "answers", PositionZeroNs: p.Family.Zero,
		BackendIdle: p.Limits.Idle * nano, DrainGrace: p.Rules.Grace * nano}, err
}

// Validate returns the first value in the settings that only a router on sockets cannot work with, or nil.
func (t *Settings) Validate() error {
	seen := map[string]bool{}
	for i, name := range t.GroupNames {
		if name == "" || seen[name] {
			return fmt.Errorf("settings: classes[%d].name is missing or a repeat", i)
		}
		seen[name] = true
	}
	for _, r := range []struct {
		key   string
		value float64
		above bool // 0 itself is out of range
		most  float64
	}{
		{"limits.dialTimeoutNs", t.ConnectTimeout, true, math.Inf(1)}, {"limits.connIdleNs", t.BackendIdle, true, math.Inf(1)},
		{"limits.mostTries", float64(t.MaxAttempts), true, math.Inf(1)}, {"me", float64(t.Instance), false, math.Inf(1)},
		{"zone", float64(t.Zone + 1), false, float64(len(t.Zones))},
		{"tickNs", t.BatchInterval, false, 1}, {"limits.maxRetryAfterNs", t.MaxRetryAfter, false, math.Inf(1)},
		{"invariants.stopSendingWithinNs", t.DrainGrace, false, math.Inf(1)},
		{"invariants.startCapacity", t.SlowStartFloor, false, 1}, {"invariants.rampTimeNs", t.SlowStart, true, math.Inf(1)},
		{"invariants.overloadFactor", t.OverloadFactor, true, math.Inf(1)}, {"invariants.fallNs", t.OverloadWindow, true, math.Inf(1)},
		{"scoreParts.whole", t.TotalWeight, false, 1}, {"scoreParts.worstClass", t.WorstGroupWeight, false, 1},
	} {
		if r.value < 0 || r.above && r.value == 0 || r.value > r.most {
			return fmt.Errorf("settings: %s is out of range", r.key)
		}
	}
	return nil
}
