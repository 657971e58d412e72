package main

import (
	"github.com/spf13/cobra"

	"caperlatch/internal/settings"
)

// featureFiles names the files that turn optional parts on.
type featureFiles struct {
	features string // of any of them
	standby  string // of the warm standby alone
}

// addFlags lets the operator name the files.
func (f *featureFiles) addFlags(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.features, "features", "", "settings of optional parts (XML), as in deploy/zones.xml; what it does not name is off")
	cmd.Flags().StringVar(&f.standby, "standby", "", "settings of the warm standby alone (XML)")
}

// args name the files to another process.
func (f *featureFiles) args() (args []string) {
	for flag, file := range map[string]string{"--features": f.features, "--standby": f.standby} {
		if file != "" {
			args = append(args, flag, file)
		}
	}
	return args
}

// read reads the files for a deployment.
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
