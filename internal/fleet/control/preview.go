package control

import (
	"context"

	"stoatdale.example/stoatdale/internal/fleet/inventory"
	"stoatdale.example/stoatdale/internal/fleet/protocol"
	"stoatdale.example/stoatdale/internal/fleet/revision"
)

// InstanceChange is the action with which an agent would install a revision on an instance.
type InstanceChange string

// Changes of an instance. The values are printed.
const (
	ChangeUnknown InstanceChange = "unknown" // no agent reports the instance
	ChangeNone    InstanceChange = "none"    // the instance runs the revision already
	ChangeStart   InstanceChange = "start"   // the instance has no revision yet
	ChangeReload  InstanceChange = "reload"
	ChangeRestart InstanceChange = "restart"
)

// RevisionEffect is the change that a revision would cause at one instance.
type RevisionEffect struct {
	Instance string         `json:"instance"`
	Change   InstanceChange `json:"how"`
	Keys     []string       `json:"keys,omitempty"` // configuration keys whose change needs a restart
}

// PreviewEffects returns the change that a revision would cause at each instance, in the order of the fleet file.
func (c *Client) PreviewEffects(ctx context.Context, content []byte) ([]RevisionEffect, error) {
	running := map[string]string{} // digest of the revision that each instance runs, by instance name
	for _, answer := range c.Broadcast(ctx, protocol.Request{Verb: protocol.StatusVerb}) {
		for _, instance := range answer.Reply.Instances {
			running[instance.Name] = instance.Revision
		}
	}
	next := revision.Digest(content)
	contents := map[string][]byte{} // by digest
	var effects []RevisionEffect
	for i := range c.Fleet.Instances {
		instance := &c.Fleet.Instances[i]
		effect := RevisionEffect{Instance: instance.Name}
		switch from, known := running[instance.Name]; {
		case !known:
			effect.Change = ChangeUnknown
		case from == "":
			effect.Change = ChangeStart
		case from == next:
			effect.Change = ChangeNone
		default:
			if err := c.fetchContent(ctx, contents, from); err != nil {
				return nil, err
			}
			var err error
			if effect, err = replaceEffect(instance, contents[from], content); err != nil {
				return nil, err
			}
		}
		effects = append(effects, effect)
	}
	return effects, nil
}

// fetchContent fetches a revision's content into contents unless contents has it already.
func (c *Client) fetchContent(ctx context.Context, contents map[string][]byte, digest string) error {
	if contents[digest] != nil {
		return nil
	}
	content, err := c.RevisionContent(ctx, digest)
	if err != nil {
		return err
	}
	contents[digest] = content
	return nil
}

// replaceEffect returns the effect of replacing one revision by another at an instance that runs the first.
func replaceEffect(instance *inventory.Instance, from, to []byte) (RevisionEffect, error) {
	effect := RevisionEffect{Instance: instance.Name, Change: ChangeReload}
	before, err := revision.Check(from, instance.RevisionInstance())
	if err != nil {
		return effect, err
	}
	after, err := revision.Check(to, instance.RevisionInstance())
	if err != nil {
		return effect, err
	}
	effect.Keys = revision.RestartKeys(&before, &after)
	if len(effect.Keys) > 0 {
		effect.Change = ChangeRestart
	}
	return effect, nil
}
