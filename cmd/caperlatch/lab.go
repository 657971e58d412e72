package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"caperlatch/internal/sim/lab"
)

// labOptions holds the options that the user of the lab sets by flags.
type labOptions struct {
	lab.Options
	files   featureFiles
	seconds float64
	faults  string // path of the fault file
	report  string // path of the report
}

// Defaults and upper bounds of the lab's options.
const (
	defaultLabNodes    = 3
	defaultLabMachines = 40
	defaultLabSeconds  = 25.0
	defaultLabPort     = 8080
	maxLabNodes        = 5
	maxLabSeconds      = 24 * 3600
)

// labCommand returns the command whose subcommands run a whole cluster on this machine.
func labCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "lab",
		Short: "Run a cluster on this machine, with a simulated state service, cloud and workers",
	}
	cmd.AddCommand(labRunCommand(), labUpCommand())
	return cmd
}

// labRunCommand returns the command that runs a sample workload on a cluster.
func labRunCommand() *cobra.Command {
	var o labOptions
	cmd := o.command("run", "Run a sample workload on a cluster while its leader is killed, and print a summary", o.run)
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "random seed of the workload")
	cmd.Flags().Float64Var(&o.seconds, "seconds", defaultLabSeconds, "for how many seconds jobs are submitted")
	cmd.Flags().StringVar(&o.faults, "faults", "", "file of faults to inject (TOML) instead of killing the leader, as in deploy/faults.example.toml")
	cmd.Flags().StringVar(&o.report, "report", "", "file to write a report to, as HTML")
	return cmd
}

// labUpCommand returns the command that runs a cluster until it is interrupted.
func labUpCommand() *cobra.Command {
	o := labOptions{seconds: defaultLabSeconds}
	cmd := o.command("up", "Run a cluster until Ctrl-C, and print how to use it",
		func(ctx context.Context, l *lab.Lab, _ io.Writer) error { return l.Up(ctx) })
	cmd.Flags().IntVar(&o.Port, "port", defaultLabPort, "port of the first node; the other nodes use the following ports; ports in use are replaced")
	return cmd
}

// command returns a command that validates the options, prepares a lab and calls use with it.
func (o *labOptions) command(name, short string, use func(context.Context, *lab.Lab, io.Writer) error) *cobra.Command {
	cmd := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := o.check(); err != nil {
				return err
			}
			return o.withLab(cmd, use)
		},
	}
	o.addFlags(cmd)
	return cmd
}

// addFlags adds the flags that all lab commands have in common.
func (o *labOptions) addFlags(cmd *cobra.Command) {
	cmd.Flags().IntVar(&o.Nodes, "nodes", defaultLabNodes, "number of controller nodes, 3 or 5")
	cmd.Flags().IntVar(&o.Machines, "machines", defaultLabMachines, "number of machines that the cloud provides")
	o.files.addFlags(cmd)
}

// check validates the options and reads the files that they name, before any process is started.
func (o *labOptions) check() error {
	switch {
	case o.Nodes != defaultLabNodes && o.Nodes != maxLabNodes:
		return asUsageError(fmt.Errorf("--nodes must be %d or %d", defaultLabNodes, maxLabNodes))
	case o.Machines < 1:
		return asUsageError(fmt.Errorf("--machines must be at least 1"))
	case !(o.seconds > 0 && o.seconds <= maxLabSeconds):
		return asUsageError(fmt.Errorf("--seconds must be greater than 0 and at most %d", maxLabSeconds))
	case o.Port < 0 || o.Port+o.Nodes > 1<<16:
		return asUsageError(fmt.Errorf("--port must be from 0 to %d", 1<<16-o.Nodes))
	}
	o.SubmitFor = time.Duration(o.seconds * float64(time.Second))
	o.Faults = lab.DefaultFaults()
	s, err := lab.Settings()
	if err != nil {
		return err
	}
	if _, err := o.files.read(s); err != nil {
		return asUsageError(err)
	}
	o.Args = o.files.args()
	if o.faults == "" {
		return nil
	}
	content, err := os.ReadFile(o.faults)
	if err != nil {
		return asUsageError(err)
	}
	if o.Faults, err = lab.ParseFaults(o.faults, content, o.Nodes, s.Params.Zones); err != nil {
		return asUsageError(err)
	}
	return nil
}

// withLab prepares a lab in a temporary directory and calls use with it. The context ends when the command is
// interrupted. The directory is kept if use fails.
func (o *labOptions) withLab(cmd *cobra.Command, use func(context.Context, *lab.Lab, io.Writer) error) (err error) {
	if o.Program, err = os.Executable(); err != nil {
		return err
	}
	if o.Dir, err = os.MkdirTemp("", "caperlatch-lab-"); err != nil {
		return err
	}
	l, err := lab.New(o.Options, cmd.OutOrStdout())
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := use(ctx, l, cmd.OutOrStdout()); err != nil {
		return fmt.Errorf("%w (settings and logs are in %s)", err, o.Dir)
	}
	return os.RemoveAll(o.Dir)
}

// run runs the sample workload in the lab, prints the summary and writes the report if one is requested.
func (o *labOptions) run(ctx context.Context, l *lab.Lab, out io.Writer) error {
	summary, err := l.Run(ctx)
	if err != nil {
		return err
	}
	summary.Print(out)
	if o.report != "" {
		if err := writeReport(o.report, summary); err != nil {
			return err
		}
	}
	return summary.Err()
}

// writeReport writes the HTML report of a run to a file.
func writeReport(path string, summary *lab.Summary) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := summary.WriteHTML(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
