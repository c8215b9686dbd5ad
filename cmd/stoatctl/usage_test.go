package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestExitCodesAndMessagesOfInvalidArgumentsAndFiles(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	f.write("bad.sexp", "(name t)\n(florr 2)")
	f.write("tight.sexp", `(name t) (floor 1) (hall h (floor 1)) (agent a (listen 127.0.0.1:1) (hall h) (folder a) (program p))
		(instance n (agent a) (listen 127.0.0.1:2))`)
	f.write("bad.json", `{"discovery":"x", "settings":{}}`)
	for _, testCase := range []struct {
		args     []string
		exitCode int
		message  string
	}{
		{[]string{"fleet", "check", "fleet.sexp", "a.json"}, 0, ""},
		{[]string{"fleet", "check", "bad.sexp"}, 2, `bad.sexp:2:2: the file has no key "florr"; did you mean floor?`},
		{[]string{"fleet", "check", "none.sexp"}, 2, "none.sexp"},
		{[]string{"fleet", "check", "fleet.sexp", "bad.json"}, 2, "bad.json: instance n0: discovery:"},
		{[]string{"fleet", "check", "tight.sexp"}, 3, "hall h would be left with 0 serving, and its floor is 1"},
		{[]string{"fleet", "chekc"}, 2, `unknown command "chekc" for stoatctl fleet; did you mean check?`},
		{[]string{"flete"}, 2, "Did you mean this?"},
		{[]string{"fleet", "check"}, 2, "accepts between 1 and 2 arg(s)"},
		{[]string{"fleet", "status", "--florr"}, 2, "unknown flag"},
		{[]string{"fleet", "status", "--as", "nobody", "--fleet", "fleet.sexp"}, 2, "operator nobody"},
		{[]string{"fleet", "resume", "--as", "ayla", "--fleet", "fleet.sexp", "--leave-out", "n9"}, 2, "there is no instance n9"},
		{[]string{"agent", "--fleet", "fleet.sexp", "--name", "a9"}, 2, `no agent "a9"`},
		{[]string{"agent", "--fleet", "fleet.sexp", "--name", "a1", "--keys", "none"}, 1, "agent a1: own certificate"},
		{[]string{"keys", "init", "t"}, 3, "holds certificates already"},
		{[]string{"keys", "issue", "king", "x"}, 1, "the role is agent or operator"},
		{[]string{"keys", "show", "--warn", "4000"}, 1, "runs out on"},
		{[]string{"drill", "claims", "--break", "x"}, 2, `there is no fault "x"`},
		{[]string{"drill", "rollout", "--instances", "1"}, 2, "--instances is 3 to 200"},
		{[]string{"--log", "loud", "version"}, 2, "--log"},
		{[]string{"version", "--json"}, 0, ""},
	} {
		got := run(t, f.dir, testCase.args...)
		assert.Equal(t, testCase.exitCode, got.exitCode, "%v: %s", testCase.args, got.stderr)
		assert.Contains(t, got.stderr, testCase.message, "%v", testCase.args)
	}
}
