package main

import (
	"github.com/spf13/cobra"

	"caperlatch/internal/settings"
)

// featureFiles holds the paths of the files that enable optional features.
type featureFiles struct {
	features string // file of any optional features
	standby  string // file of the warm standby only
}

// addFlags adds the flags that set the paths.
func (f *featureFiles) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.features, "features", "", "settings of optional features (XML), as in deploy/zones.xml; features that it does not contain are disabled")
	cmd.Flags().StringVar(&f.standby, "standby", "", "settings of the warm standby only (XML)")
}

// args returns the command-line arguments that pass the paths to another process of this program.
func (f *featureFiles) args() (args []string) {
	if f.features != "" {
		args = append(args, "--features", f.features)
	}
	if f.standby != "" {
		args = append(args, "--standby", f.standby)
	}
	return args
}

// read returns the settings in the files, validated against the settings of a node.
func (f *featureFiles) read(s *settings.Settings) (features settings.Features, err error) {
	if f.features != "" {
		if features, err = settings.ReadFeatures(f.features, &s.Params); err != nil {
			return features, err
		}
	}
	if f.standby == "" {
		return features, nil
	}
	if features.Standby != nil {
		return features, settings.ErrStandbyEnabledTwice
	}
	features.Standby, err = settings.ReadStandby(f.standby)
	return features, err
}
