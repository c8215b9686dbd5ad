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

// Settings holds the settings of a deployment that a router uses.
type Settings struct {
	router.Config
	GroupNames      []string // names of the command groups, in the order of Config.CommandGroups
	Zones           []string // names of the zones, indexed by zone number
	ReportFields    []string // fields of a load report, in order
	PositionEpochNs float64  // time from which log positions count, in nanoseconds on the simulator's clock; unused on sockets
	BackendIdle     float64  // seconds after which a backend closes an idle connection
	DrainGrace      float64  // seconds within which a router must stop sending to a draining backend; 0 if unknown
}

// settingsDocument is the JSON form of the settings that a router uses. Times are in nanoseconds.
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

// classDocument is the JSON form of one command group, which the document calls a class. Times are in nanoseconds.
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

// Names of enumerated values in the settings, with the values that they stand for.
var (
	consistencyByName = map[string]router.Consistency{
		"mutate": router.PrimaryOnly, "strong": router.Linearizable,
		"causal": router.SessionConsistent, "lag_bound": router.BoundedStaleness, "eventual": router.Eventual,
	}
	idempotencyByName = map[string]router.Idempotency{
		"pure": router.Idempotent, "token": router.IdempotentWithKey,
		"side_effect": router.NonIdempotent,
	}
	keyScopeByName = map[string]router.KeyScope{
		"cell": router.ShardScope, "zone": router.ZoneScope, "all": router.GlobalScope,
	}
	clientTokensByName       = map[string]bool{"brought": true, "kept": false}
	replicasCheckReadsByName = map[string]bool{"none": false, "bounce": true, "await": true}
)

const (
	pollDiscovery = "ask"     // value of discovery: the discovery service sends the endpoint list only when polled
	noReports     = "none"    // value of loadInfo.source: backends send no load reports
	answerReports = "answers" // value of loadInfo.source: backends send load reports with their answers
)

// Names in Settings.ReportFields of the load report fields that routers use.
const (
	PositionReportField = "x0" // the backend's log position, in seconds
	PrimaryReportField  = "x1" // 1 if the backend is the primary
)

// errClassTimes is the cause of an Error for a command group without a latency objective or a client timeout.
var errClassTimes = errors.New("targetNs and deadlineNs must be above 0")

// settingsError returns the Error for one key of the settings.
func settingsError(key, reason string, err error) *Error {
	return &Error{Section: settingsKey, Key: key, Reason: reason, Err: err}
}

// outOfRangeError returns the Error for a number with which no router can work.
func outOfRangeError(key string) *Error { return settingsError(key, "is out of range", nil) }

// enumDecoder decodes the enumerated values of the settings. It stores the error for the first unknown name, so that other
// errors that are found later are reported in preference to it.
type enumDecoder struct{ firstError error }

// decodeEnum returns the value that the given name of a key stands for, or the zero value if the name is unknown.
func decodeEnum[T any](decoder *enumDecoder, key, name string, values map[string]T) T {
	value, known := values[name]
	if !known && decoder.firstError == nil {
		decoder.firstError = settingsError(key, "", fmt.Errorf("unknown value %q", name))
	}
	return value
}

// ParseSettings parses the settings of a deployment. It ignores unknown keys. Its errors are of type *Error and name the
// invalid key. Validate checks the values that only a router on sockets needs.
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
	decoder := &enumDecoder{}
	settings := Settings{
		Config:          doc.routerSettings(decoder),
		Zones:           doc.Zones,
		ReportFields:    doc.Load.Fields,
		PositionEpochNs: doc.Family.Zero,
		BackendIdle:     doc.Limits.BackendIdle * secondsPerNanosecond,
		DrainGrace:      doc.Invariants.DrainGrace * secondsPerNanosecond,
	}
	for i, class := range doc.Classes {
		group, err := doc.commandGroup(decoder, i)
		if err != nil {
			return Settings{}, err
		}
		settings.GroupNames = append(settings.GroupNames, class.Name)
		settings.CommandGroups = append(settings.CommandGroups, group)
	}
	return settings, decoder.firstError
}

// routerSettings returns the settings that routing decisions use, without the command groups.
func (d *settingsDocument) routerSettings(decoder *enumDecoder) router.Config {
	return router.Config{
		RouterCount:        d.Routers,
		Instance:           d.Instance,
		Zone:               d.Zone,
		TotalWeight:        d.ScoreParts.Whole,
		WorstGroupWeight:   d.ScoreParts.WorstClass,
		BatchInterval:      d.Tick * secondsPerNanosecond,
		ClientTokens:       decodeEnum(decoder, "familyInfo.tokens", d.Family.Tokens, clientTokensByName),
		ReplicasCheckReads: decodeEnum(decoder, "familyInfo.guards", d.Family.Guards, replicasCheckReadsByName),
		LoadReports:        d.hasReports(),
		ReportsOnAnswers:   d.Load.Source == answerReports,
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

// hasReports reports whether backends send load reports and these contain both the position and the role.
func (d *settingsDocument) hasReports() bool {
	return d.Load.Source != noReports &&
		slices.Contains(d.Load.Fields, PositionReportField) && slices.Contains(d.Load.Fields, PrimaryReportField)
}

// commandGroup returns the command group for the class with the given index.
func (d *settingsDocument) commandGroup(decoder *enumDecoder, index int) (router.CommandGroup, error) {
	class, key := d.Classes[index], fmt.Sprintf("classes[%d]", index)
	if class.LatencyObjective <= 0 || class.ClientTimeout <= 0 {
		return router.CommandGroup{}, settingsError(key, "", errClassTimes)
	}
	group := router.CommandGroup{
		Consistency:       decodeEnum(decoder, "familyInfo.needsByClass", d.Family.Needs[index], consistencyByName),
		Idempotency:       decodeEnum(decoder, key+".effect", class.Effect, idempotencyByName),
		LatencyObjective:  class.LatencyObjective * secondsPerNanosecond,
		ClientTimeout:     class.ClientTimeout * secondsPerNanosecond,
		PriorityWeight:    class.PriorityWeight,
		LateValue:         class.LateValue,
		IdempotencyWindow: class.IdempotencyWindow * secondsPerNanosecond,
	}
	if group.Idempotency == router.IdempotentWithKey {
		group.KeyScope = decodeEnum(decoder, key+".keyScope", class.KeyScope, keyScopeByName)
	}
	if index < len(d.Family.Bounds) {
		group.MaxStaleness = d.Family.Bounds[index] * secondsPerNanosecond
	}
	return group, nil
}

// Validate returns an *Error for the first value with which a router on sockets cannot work, or nil. The simulator's settings
// need not pass this check.
func (s *Settings) Validate() error {
	if err := s.validateGroupNames(); err != nil {
		return err
	}
	for _, number := range s.numericSettings() {
		if !number.inRange() {
			return outOfRangeError(number.key)
		}
	}
	return nil
}

// validateGroupNames returns an error if a command group has no name or two have the same name. Clients select a command
// group by its name.
func (s *Settings) validateGroupNames() error {
	seen := map[string]bool{}
	for i, name := range s.GroupNames {
		if name == "" || seen[name] {
			return settingsError(fmt.Sprintf("classes[%d].name", i), "is missing or not unique", nil)
		}
		seen[name] = true
	}
	return nil
}

// numericSetting is a number in the settings with its valid range.
type numericSetting struct {
	key      string
	value    float64
	positive bool    // 0 is out of range; negative values always are
	maximum  float64 // largest valid value
}

// inRange reports whether the value is within the valid range.
func (n numericSetting) inRange() bool {
	if n.positive && n.value == 0 {
		return false
	}
	return n.value >= 0 && n.value <= n.maximum
}

// numericSettings returns the numbers to validate, in the order in which errors are reported.
func (s *Settings) numericSettings() []numericSetting {
	unbounded := math.Inf(1)
	return []numericSetting{
		{"limits.dialTimeoutNs", s.ConnectTimeout, true, unbounded},
		{"limits.connIdleNs", s.BackendIdle, true, unbounded},
		{"limits.mostTries", float64(s.MaxAttempts), true, unbounded},
		{"me", float64(s.Instance), false, unbounded},
		{"zone", float64(s.Zone + 1), false, float64(len(s.Zones))}, // -1 means unknown
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
