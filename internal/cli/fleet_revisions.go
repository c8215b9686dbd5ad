package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"stoatdale.example/stoatdale/internal/fleet/layout"
	"stoatdale.example/stoatdale/internal/fleet/plan"
	"stoatdale.example/stoatdale/internal/fleet/revision"
	"stoatdale.example/stoatdale/internal/fleet/tool"
)

func (a *app) check() *cobra.Command {
	c := &cobra.Command{
		Use: "check FILE [REVISION.json]", Short: "Checks a fleet file, and a revision for its instances",
		Example: "  stoatctl fleet check deploy/fleet.sexp winter.json", Args: cobra.RangeArgs(1, 2),
		RunE: func(_ *cobra.Command, args []string) error {
			f, err := layout.Load(args[0])
			if err != nil {
				return status(Misused, err)
			}
			t := &tool.Client{Fleet: f}
			said := map[string]any{"fleet": f.Name, "halls": len(f.Zones), "agents": len(f.Agents), "instances": len(f.Instances)}
			if len(args) == 2 {
				content, err := t.ReadRevision(args[1])
				if err != nil {
					return status(Misused, err)
				}
				said["revision"] = revision.Digest(content)
			}
			if err := a.show(said, func(w io.Writer) {
				fmt.Fprintf(w, "%s: %d halls, %d agents, %d instances\n", f.Name, len(f.Zones), len(f.Agents), len(f.Instances))
				if d, ok := said["revision"]; ok {
					fmt.Fprintf(w, "revision %s is right for all of them\n", d)
				}
			}); err != nil {
				return err
			}
			if why := plan.CheckFeasible(f.PlannerFleet(), nil); why.Kind != plan.ReasonNone {
				return refuse("no rollout is possible with these floors: %s", t.Explain(why))
			}
			return nil
		},
	}
	a.asJSON(c)
	return c
}

func (a *app) diff(f *fleetFlags) *cobra.Command {
	c := &cobra.Command{
		Use: "diff REVISION [REVISION]", Short: "Shows what a revision changes, and how each instance would take it",
		Long:    "REVISION is a file, the name of a pushed revision or the beginning of its digest. With one, it is held against what runs.",
		Example: "  stoatctl fleet diff winter.json\n  stoatctl fleet diff autumn winter", Args: cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := f.open()
			if err != nil {
				return err
			}
			defer t.Close()
			return a.differ(cmd.Context(), t, args)
		},
	}
	a.asJSON(c)
	return c
}

// content takes a revision from a file or from the agents.
func (a *app) content(ctx context.Context, t *tool.Client, called string) ([]byte, error) {
	if _, err := os.Stat(called); err == nil {
		c, err := t.ReadRevision(called)
		return c, status(Misused, err)
	}
	r, err := t.FindRevision(ctx, called)
	if err != nil {
		return nil, status(Failed, err)
	}
	c, err := t.RevisionContent(ctx, r.Digest)
	return c, status(Failed, err)
}

func (a *app) differ(ctx context.Context, t *tool.Client, args []string) error {
	type said struct {
		Changes []revision.Change     `json:"changes"`
		Effects []tool.RevisionEffect `json:"instances,omitempty"`
	}
	var s said
	to, err := a.content(ctx, t, args[len(args)-1])
	if err != nil {
		return err
	}
	var from []byte
	if len(args) == 2 {
		if from, err = a.content(ctx, t, args[0]); err != nil {
			return err
		}
	} else {
		if s.Effects, err = t.PreviewEffects(ctx, to); err != nil {
			return status(Failed, err)
		}
		for _, x := range t.Status(ctx).Instances { // what most of them run is what one would compare with
			if x.Revision != "" {
				if from, err = a.content(ctx, t, x.Revision); err != nil {
					return err
				}
				break
			}
		}
	}
	if from != nil {
		if s.Changes, err = revision.Diff(from, to); err != nil {
			return status(Failed, err)
		}
	}
	return a.show(s, func(w io.Writer) {
		for _, x := range s.Changes {
			switch {
			case x.From == "":
				fmt.Fprintf(w, "+ %s: %s\n", x.Key, x.To)
			case x.To == "":
				fmt.Fprintf(w, "- %s: %s\n", x.Key, x.From)
			default:
				fmt.Fprintf(w, "  %s: %s -> %s\n", x.Key, x.From, x.To)
			}
		}
		for _, x := range s.Effects {
			fmt.Fprintf(w, "%s: %s %s\n", x.Instance, x.Change, strings.Join(x.Keys, ", "))
		}
	})
}

func (a *app) push(f *fleetFlags) *cobra.Command {
	var name string
	c := &cobra.Command{
		Use: "push FILE", Short: "Has every agent keep a revision; nothing runs it yet",
		Long: "The file is what all routers share: the document of GW_CONFIG without name, listen and seed. It is checked by the\n" +
			"router's own reader for every instance before any agent is asked, and again at the agents. Exit status 4 if some\n" +
			"agents could not take it: push again once they can be heard.",
		Example: "  stoatctl fleet push winter.json --name winter", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			t, err := f.open()
			if err != nil {
				return err
			}
			defer t.Close()
			content, err := t.ReadRevision(args[0])
			if err != nil {
				return status(Misused, err)
			}
			p := t.PushRevision(cmd.Context(), content, name)
			if err := a.show(p, func(w io.Writer) {
				fmt.Fprintf(w, "revision %s is kept by %d of %d agents\n", p.Digest, p.Stored, p.Agents)
				for _, m := range p.Missing {
					fmt.Fprintln(w, m.Failure)
				}
			}); err != nil {
				return err
			}
			if p.Stored == 0 {
				return status(Failed, errors.New(p.Missing[0].Failure))
			}
			if len(p.Missing) > 0 {
				return status(Paused, fmt.Errorf("%d agents do not keep the revision", len(p.Missing)))
			}
			return nil
		},
	}
	c.Flags().StringVar(&name, "name", "", "name to find the revision by")
	a.asJSON(c)
	return c
}

func (a *app) history(f *fleetFlags) *cobra.Command {
	c := &cobra.Command{
		Use: "history", Short: "Lists revisions and rollouts, newest first", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			t, err := f.open()
			if err != nil {
				return err
			}
			defer t.Close()
			h, err := t.History(cmd.Context())
			if err != nil {
				return status(Failed, err)
			}
			type rev struct {
				Digest string `json:"revision"`
				Name   string `json:"name,omitempty"`
				By     string `json:"by"`
				At     string `json:"at"`
			}
			var s struct {
				Revisions []rev                `json:"revisions"`
				Rollouts  []tool.RolloutStatus `json:"rollouts"`
			}
			for _, r := range h.Revisions {
				s.Revisions = append(s.Revisions, rev{r.Digest, r.Name, r.PushedBy, time.Unix(r.PushedAt, 0).UTC().Format(time.RFC3339)})
			}
			for _, r := range h.Rollouts {
				s.Rollouts = append(s.Rollouts, *t.DescribeRollout(r))
			}
			return a.show(s, func(w io.Writer) {
				g := grid(w, "revision", "name", "by", "at")
				for _, r := range s.Revisions {
					g.AppendRow(table.Row{revision.ShortDigest(r.Digest), r.Name, r.By, r.At})
				}
				g.Render()
				fmt.Fprintln(w)
				g = grid(w, "rollout", "revision", "by", "began", "state", "")
				for _, r := range s.Rollouts {
					g.AppendRow(table.Row{r.ID, r.Revision + " " + r.RevisionName, r.StartedBy, r.StartedAt, r.State, r.Why})
				}
				g.Render()
			})
		},
	}
	a.asJSON(c)
	return c
}
