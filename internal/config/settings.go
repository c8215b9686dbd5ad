package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"

	"stoatdale.example/stoatdale/internal/router"
)

const secondsPerNanosecond = 1e-9

// Settings is what a router reads from the settings of its deployment.
type Settings struct {
	router.Config
	GroupNames       []string // names of the command groups, in the order of Config.CommandGroups
	Zones            []string // names of the zones, by the number that the settings give them
	ReportFields     []string // fields of a load report, in order
	ReportsOnAnswers bool     // backends put load reports on their answers, not only on health checks
	PositionZeroNs   float64  // the moment from which log positions count, nanoseconds on the settings' clock
	BackendIdle      float64  // seconds after which a backend closes an idle connection
	DrainGrace       float64  // seconds in which a router must stop sending to a draining backend; 0: unknown
}

// settingsDocument is the part of the settings that is read; times are in nanoseconds.
type settingsDocument struct {
	Routers    int             `json:"balancers"`
	Instance   int             `json:"me"`
	Zone       int             `json:"zone"`
	Zones      []string        `json:"zones"`
	Classes    []classDocument `json:"classes"`
	ScoreParts struct {
		Whole      float64 `json:"whole"`
		WorstClass float64 `json:"worstClass"`
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
		Cancel         bool    `json:"cancel"`
		HealthChecks   bool    `json:"probes"`
		RetryAfter     bool    `json:"retryAfter"`
		MaxRetryAfter  float64 `json:"maxRetryAfterNs"`
		MaxAttempts    int     `json:"mostTries"`
		ConnectTimeout float64 `json:"dialTimeoutNs"`
		BackendIdle    float64 `json:"connIdleNs"`
	} `json:"limits"`
	Invariants struct {
		PollWindow     float64 `json:"askWithinNs"`
		SoftRemoval    bool    `json:"softRemoval"`
		DrainGrace     float64 `json:"stopSendingWithinNs"`
		SlowStartFloor float64 `json:"startCapacity"`
		SlowStart      float64 `json:"rampTimeNs"`
		OverloadFactor float64 `json:"overloadFactor"`
		OverloadWindow float64 `json:"fallNs"`
	} `json:"invariants"`
}

// classDocument describes one command group; times are in nanoseconds.
type classDocument struct {
	Name              string  `json:"name"`
	Effect            string  `json:"effect"`
	KeyScope          string  `json:"keyScope"`
	LatencyObjective  float64 `json:"targetNs"`
	ClientTimeout     float64 `json:"deadlineNs"`
	PriorityWeight    float64 `json:"worth"`
	LateValue         float64 `json:"lateWorth"`
	IdempotencyWindow float64 `json:"memorySpanNs"`
}

// Words of the settings and what they mean.
var (
	consistencyWords = map[string]router.Consistency{
		"mutate": router.PrimaryOnly, "strong": router.Linearizable,
		"causal": router.SessionConsistent, "lag_bound": router.BoundedStaleness, "eventual": router.Eventual,
	}
	effectWords = map[string]router.Idempotency{
		"pure": router.Idempotent, "token": router.IdempotentWithKey,
		"side_effect": router.NonIdempotent,
	}
	scopeWords = map[string]router.KeyScope{"cell": router.ShardScope, "zone": router.ZoneScope, "all": router.GlobalScope}
	tokenWords = map[string]bool{"brought": true, "kept": false}
	guardWords = map[string]bool{"none": false, "bounce": true, "await": true}
)

const (
	pollDiscovery = "ask"     // of discovery: the endpoint list comes only when it is polled
	noReports     = "none"    // of loadInfo.source
	answerReports = "answers" // of loadInfo.source
)

// Names that Settings.ReportFields gives the fields of a load report which routers use.
const (
	PositionReportField = "x0" // the backend's log position, in seconds
	PrimaryReportField  = "x1" // 1 from the primary
)

var errClassTimes = errors.New("targetNs and deadlineNs must be above 0")

// settingsError is a fault at one key of the settings.
func settingsError(key, reason string, err error) *Error {
	return &Error{Section: settingsKey, Key: key, Reason: reason, Err: err}
}

// outOfRange is the fault of a number that no router can work with.
func outOfRange(key string) *Error { return settingsError(key, "is out of range", nil) }

// vocabulary translates words of the settings. It keeps the first unknown word: later faults of other kinds are
// reported before it.
type vocabulary struct{ firstUnknown error }

// translate looks up the word that stands at a key.
func translate[T any](v *vocabulary, key, word string, meanings map[string]T) T {
	meaning, known := meanings[word]
	if !known && v.firstUnknown == nil {
		v.firstUnknown = settingsError(key, "", fmt.Errorf("unknown word %q", word))
	}
	return meaning
}

// ParseSettings decodes the settings of a deployment. Unknown keys are skipped. Its errors are of type *Error and
// name the key at fault. What only a router on sockets needs is checked by Validate.
func ParseSettings(raw []byte) (Settings, error) {
	doc := settingsDocument{Zone: -1}
	if err := json.Unmarshal(raw, &doc); err != nil {
		return Settings{}, settingsError("", "", err)
	}
	if len(doc.Classes) == 0 {
		return Settings{}, settingsError("classes", "is missing or empty", nil)
	}
	if len(doc.Family.Needs) != len(doc.Classes) {
		reason := fmt.Sprintf("holds %d of %d classes", len(doc.Family.Needs), len(doc.Classes))
		return Settings{}, settingsError("familyInfo.needsByClass", reason, nil)
	}
	words := &vocabulary{}
	settings := Settings{
		Config:           doc.routerSettings(words),
		Zones:            doc.Zones,
		ReportFields:     doc.Load.Fields,
		ReportsOnAnswers: doc.Load.Source == answerReports,
		PositionZeroNs:   doc.Family.Zero,
		BackendIdle:      doc.Limits.BackendIdle * secondsPerNanosecond,
		DrainGrace:       doc.Invariants.DrainGrace * secondsPerNanosecond,
	}
	for i, class := range doc.Classes {
		group, err := doc.commandGroup(words, i)
		if err != nil {
			return Settings{}, err
		}
		settings.GroupNames = append(settings.GroupNames, class.Name)
		settings.CommandGroups = append(settings.CommandGroups, group)
	}
	return settings, words.firstUnknown
}

// routerSettings is what the routing decisions take from the settings, but for the command groups.
func (d *settingsDocument) routerSettings(words *vocabulary) router.Config {
	return router.Config{
		RouterCount:        d.Routers,
		Instance:           d.Instance,
		Zone:               d.Zone,
		TotalWeight:        d.ScoreParts.Whole,
		WorstGroupWeight:   d.ScoreParts.WorstClass,
		BatchInterval:      d.Tick * secondsPerNanosecond,
		ClientTokens:       translate(words, "familyInfo.tokens", d.Family.Tokens, tokenWords),
		ReplicasCheckReads: translate(words, "familyInfo.guards", d.Family.Guards, guardWords),
		LoadReports:        d.hasReports(),
		PollList:           d.Discovery == pollDiscovery,
		PollWindow:         d.Invariants.PollWindow * secondsPerNanosecond,
		SoftRemoval:        d.Invariants.SoftRemoval,
		CanCancel:          d.Limits.Cancel,
		HealthChecks:       d.Limits.HealthChecks,
		RetryAfterAllowed:  d.Limits.RetryAfter,
		MaxRetryAfter:      d.Limits.MaxRetryAfter * secondsPerNanosecond,
		MaxAttempts:        d.Limits.MaxAttempts,
		ConnectTimeout:     d.Limits.ConnectTimeout * secondsPerNanosecond,
		SlowStartFloor:     d.Invariants.SlowStartFloor,
		SlowStart:          d.Invariants.SlowStart * secondsPerNanosecond,
		OverloadFactor:     d.Invariants.OverloadFactor,
		OverloadWindow:     d.Invariants.OverloadWindow * secondsPerNanosecond,
	}
}

// hasReports reports whether load reports carry both the position and the role.
func (d *settingsDocument) hasReports() bool {
	return d.Load.Source != noReports &&
		slices.Contains(d.Load.Fields, PositionReportField) && slices.Contains(d.Load.Fields, PrimaryReportField)
}

// commandGroup is the command group of one class.
func (d *settingsDocument) commandGroup(words *vocabulary, number int) (router.CommandGroup, error) {
	class, key := d.Classes[number], fmt.Sprintf("classes[%d]", number)
	if class.LatencyObjective <= 0 || class.ClientTimeout <= 0 {
		return router.CommandGroup{}, settingsError(key, "", errClassTimes)
	}
	group := router.CommandGroup{
		Consistency:       translate(words, "familyInfo.needsByClass", d.Family.Needs[number], consistencyWords),
		Idempotency:       translate(words, key+".effect", class.Effect, effectWords),
		LatencyObjective:  class.LatencyObjective * secondsPerNanosecond,
		ClientTimeout:     class.ClientTimeout * secondsPerNanosecond,
		PriorityWeight:    class.PriorityWeight,
		LateValue:         class.LateValue,
		IdempotencyWindow: class.IdempotencyWindow * secondsPerNanosecond,
	}
	if group.Idempotency == router.IdempotentWithKey {
		group.KeyScope = translate(words, key+".keyScope", class.KeyScope, scopeWords)
	}
	if number < len(d.Family.Bounds) {
		group.MaxStaleness = d.Family.Bounds[number] * secondsPerNanosecond
	}
	return group, nil
}

// Validate returns the first value that a router on sockets cannot work with, as an *Error, or nil. The simulator's
// settings need not pass it.
func (s *Settings) Validate() error {
	if err := s.validateGroupNames(); err != nil {
		return err
	}
	for _, number := range s.numbers() {
		if !number.inRange() {
			return outOfRange(number.key)
		}
	}
	return nil
}

// validateGroupNames checks that clients can name each command group.
func (s *Settings) validateGroupNames() error {
	seen := map[string]bool{}
	for i, name := range s.GroupNames {
		if name == "" || seen[name] {
			return settingsError(fmt.Sprintf("classes[%d].name", i), "is missing or a repeat", nil)
		}
		seen[name] = true
	}
	return nil
}

// number is a number of the settings and the range that it has to lie in.
type number struct {
	key      string
	value    float64
	positive bool // 0 itself is out of range
	maximum  float64
}

func (n number) inRange() bool {
	if n.positive && n.value == 0 {
		return false
	}
	return n.value >= 0 && n.value <= n.maximum
}

// numbers lists the numbers to check, in the order in which faults are reported.
func (s *Settings) numbers() []number {
	unbounded := math.Inf(1)
	return []number{
		{"limits.dialTimeoutNs", s.ConnectTimeout, true, unbounded},
		{"limits.connIdleNs", s.BackendIdle, true, unbounded},
		{"limits.mostTries", float64(s.MaxAttempts), true, unbounded},
		{"me", float64(s.Instance), false, unbounded},
		{"zone", float64(s.Zone + 1), false, float64(len(s.Zones))}, // -1: unknown
		{"tickNs", s.BatchInterval, false, 1},
		{"limits.maxRetryAfterNs", s.MaxRetryAfter, false, unbounded},
		{"invariants.stopSendingWithinNs", s.DrainGrace, false, unbounded},
		{"invariants.startCapacity", s.SlowStartFloor, false, 1},
		{"invariants.rampTimeNs", s.SlowStart, true, unbounded},
		{"invariants.overloadFactor", s.OverloadFactor, true, unbounded},
		{"invariants.fallNs", s.OverloadWindow, true, unbounded},
		{"scoreParts.whole", s.TotalWeight, false, 1},
		{"scoreParts.worstClass", s.WorstGroupWeight, false, 1},
	}
}
