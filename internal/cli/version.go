package cli

import (
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"
)

const shortCommitLength = 10

// programVersion returns the name of this program and the commit or module version that it was built from.
func programVersion() string {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				version = setting.Value[:min(shortCommitLength, len(setting.Value))]
			}
		}
	}
	return "stoatctl " + version
}

func (a *app) versionCommand() *cobra.Command {
	c := &cobra.Command{
		Use: "version", Short: "Prints the version of the program", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return a.show(map[string]string{"program": programVersion()}, func(out io.Writer) { printf(out, "%s\n", programVersion()) })
		},
	}
	a.addJSONFlag(c)
	return c
}
