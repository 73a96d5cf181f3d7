package kctlog

import (
	"flag"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// Install makes a writer the only output of klog, which by default writes errors to standard error too and holds its lock until someone reads them.
func Install(w *Writer) error {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for _, f := range [][2]string{{"logtostderr", "false"}, {"stderrthreshold", "FATAL"}, {"one_output", "true"}} {
		if err := flags.Set(f[0], f[1]); err != nil {
			return eris.Wrapf(err, "set %s of klog", f[0])
		}
	}
	klog.SetOutput(w)
	return nil
}
