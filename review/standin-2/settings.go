package main

import (
	"cmp"
	"encoding/json"
	"fmt"
)

// class is a command group of a deployment. Times are in milliseconds.
type class struct {
	name, need, effect string
	aim, deadline      float64
	worth, lateWorth   float64
	memory             float64 // how long the hosts remember a key
	bound              float64 // greatest age of the data
}

// site is what a deployment's page and its site file say, as far as a router is told of it. Times are in milliseconds.
type site struct {
	classes         []class
	routers         int
	grace           float64 // within which sends to a draining host must end
	onlyDrainBinds  bool
	guards          string // what a host does with a read for which it lags too far
	reports         string // where hosts report: probe, answers or none
	fields          []string
	maxAttempts     int
	secondCopies    bool
	retryAfter      bool
	overload, ramp  float64
	overloadWindow  float64
	startCapacity   float64
	memoryMB        int
	sockets         int
	tokens          string // how a session's read tells what it has to see; "kept" if empty
	askedForChanges bool
}

// configuration is the configuration file of one router.
type configuration struct {
	site      *site
	discovery string
	known     string // the list that the router had last
}

type object map[string]any

// nanoseconds converts milliseconds.
func nanoseconds(milliseconds float64) int64 { return int64(milliseconds * 1e6) }

// settings returns the object that a router reads from its configuration.
func (s *site) settings() object {
	var classes []object
	var needs []string
	var bounds []int64
	for _, c := range s.classes {
		classes = append(classes, object{
			"name": c.name, "effect": c.effect, "keyScope": "cell", "targetNs": nanoseconds(c.aim),
			"deadlineNs": nanoseconds(c.deadline), "worth": c.worth, "lateWorth": c.lateWorth,
			"memorySpanNs": nanoseconds(c.memory), "stream": false,
		})
		needs = append(needs, c.need)
		bounds = append(bounds, nanoseconds(c.bound))
	}
	tokens := cmp.Or(s.tokens, "kept")
	mode := "push"
	if s.askedForChanges {
		mode = "ask"
	}
	return object{
		"balancers": s.routers, "me": 0, "zone": 0, "zones": []string{"hall-a"}, "tickNs": nanoseconds(5), "discovery": mode,
		"classes": classes, "family": "replicas", "stages": []string{"db"}, "layer": 0, "tenants": []object{},
		"familyInfo": object{
			"needsByClass": needs, "classBoundNs": bounds, "guards": s.guards, "holdsForNs": 0, "roleListed": "none",
			"tellsPosition": true, "tokens": tokens, "waitsForCopy": false, "zeroNs": 0,
		},
		"loadInfo":   object{"source": s.reports, "fields": s.fields},
		"scoreParts": object{"whole": 0.6, "worstClass": 0.2, "worstTenant": 0, "worstWindow": 0.2},
		"limits": object{
			"cancel": true, "connIdleNs": nanoseconds(15000), "dialTimeoutNs": nanoseconds(250), "mostTries": s.maxAttempts,
			"probes": true, "retryAfter": s.retryAfter, "maxRetryAfterNs": nanoseconds(1000),
			"secondCopies": s.secondCopies, "streamsPerConn": 1, "maxOpen": 20000, "mayTell": false,
		},
		"invariants": object{
			"answerSlackNs": nanoseconds(50), "askWithinNs": nanoseconds(10000), "stopSendingWithinNs": nanoseconds(s.grace),
			"softRemoval": s.onlyDrainBinds, "overloadFactor": s.overload, "rampTimeNs": nanoseconds(s.ramp),
			"fallNs": nanoseconds(s.overloadWindow), "startCapacity": s.startCapacity,
		},
	}
}

// document returns the configuration file of the router with a name that listens on an address.
func (c *configuration) document(name, listen string) []byte {
	raw, err := json.MarshalIndent(object{
		"name": name, "listen": listen, "discovery": c.discovery, "seed": "8c1f30d27a5be964",
		"limits":   object{"cores": 1.0, "memory_mb": c.site.memoryMB, "sockets": c.site.sockets},
		"known":    json.RawMessage(c.known),
		"settings": c.site.settings(),
	}, "", " ")
	if err != nil {
		panic(fmt.Sprint("the configuration cannot be written: ", err))
	}
	return raw
}

// gebze returns palet-hub-gebze: its brief and its site file.
func gebze() *site {
	return &site{
		classes: []class{
			{name: "track-view", need: "lag_bound", effect: "pure", aim: 300, deadline: 1000, worth: 3, bound: 800, memory: 5000},
			{name: "own-recent", need: "causal", effect: "pure", aim: 500, deadline: 1500, worth: 3, memory: 5000},
			{name: "hub-check", need: "strong", effect: "pure", aim: 750, deadline: 2500, worth: 3, lateWorth: 0.2, memory: 5000},
			{name: "scan-write", need: "mutate", effect: "token", aim: 750, deadline: 3000, worth: 6, lateWorth: 0.3, memory: 3000},
		},
		routers: 3, grace: 2000, guards: "none", reports: "probe", fields: []string{"x0", "x1"}, maxAttempts: 8, retryAfter: true,
		overload: 2, ramp: 13000, overloadWindow: 3000, startCapacity: 0.15, memoryMB: 64, sockets: 256,
	}
}

// gebzeLedger returns gebze-ledger, of which there is a site file.
func gebzeLedger() *site {
	return &site{
		classes: []class{
			{name: "day-totals", need: "lag_bound", effect: "pure", aim: 1000, deadline: 2500, worth: 3, bound: 800, memory: 5000},
			{name: "own-changes", need: "causal", effect: "pure", aim: 300, deadline: 1200, worth: 3, lateWorth: 0.2, memory: 5000},
			{name: "till-tally", need: "eventual", effect: "pure", aim: 300, deadline: 1000, worth: 1, lateWorth: 0.2, memory: 5000},
			{name: "ledger-post", need: "mutate", effect: "token", aim: 500, deadline: 2000, worth: 6, lateWorth: 0.3, memory: 2000},
		},
		routers: 1, grace: 500, guards: "bounce", reports: "probe", fields: []string{"x0", "x1", "waiting", "active"}, maxAttempts: 8,
		overload: 2.5, ramp: 17000, overloadWindow: 1500, startCapacity: 0.15, memoryMB: 96, sockets: 512,
	}
}

// quito returns quito-main: its brief and its site file.
func quito() *site {
	return &site{
		classes: []class{
			{name: "own-read", need: "causal", effect: "pure", aim: 400, deadline: 1200, worth: 2, memory: 5000},
			{name: "view-read", need: "eventual", effect: "pure", aim: 300, deadline: 1200, worth: 3, lateWorth: 0.2, memory: 5000},
			{name: "move-write", need: "mutate", effect: "token", aim: 750, deadline: 2000, worth: 6, lateWorth: 0.3, memory: 2000},
		},
		routers: 3, grace: 1000, guards: "bounce", reports: "probe", fields: []string{"x0", "x1", "waiting", "active"}, maxAttempts: 10,
		retryAfter: true, overload: 3, ramp: 16000, overloadWindow: 1000, startCapacity: 0.15, memoryMB: 96, sockets: 512,
		tokens: "brought", askedForChanges: true,
	}
}
