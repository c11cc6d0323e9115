// Command lab runs proofs and measurements that anyone can repeat: it starts real
// processes of this repository on loopback ports, causes failures from a seed,
// compares what users were told with what machines ran and what the stores hold, and
// ends everything that it started. The last line of its output is one JSON object.
// It exits with 1 if anything was broken and with 2 for a wrong argument.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// errUsage marks mistakes on the command line; errBroken a proof that failed.
var (
	errUsage  = errors.New("usage")
	errBroken = errors.New("broken")
)

func main() {
	root := &cobra.Command{Use: "lab", Short: "Proofs and measurements with real processes on loopback", SilenceErrors: true, SilenceUsage: true}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return fmt.Errorf("%w: %v", errUsage, err) })
	root.AddCommand(gatewayProofCommand(), gatewayLoadCommand(), gatewayGrowthCommand(), ticketsProofCommand(), ticketsLoadCommand(), whyProofCommand(), reportProofCommand(), startProofCommand(), standbyProofCommand())
	err := root.Execute()
	if err != nil && !errors.Is(err, errBroken) {
		fmt.Fprintln(os.Stderr, err)
	}
	switch {
	case err == nil:
	case errors.Is(err, errBroken):
		os.Exit(1)
	default:
		os.Exit(2)
	}
}

// printFigures prints the last line.
func printFigures(out io.Writer, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(out, string(data))
	return err
}

// checkRange refuses an argument out of its bounds.
func checkRange(name string, value, minimum, maximum int) error {
	if value < minimum || value > maximum {
		return fmt.Errorf("%w: --%s %d is not within %d to %d", errUsage, name, value, minimum, maximum)
	}
	return nil
}
