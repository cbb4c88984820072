package member_test

import (
	"flag"
	"io"
	"os"
	"testing"

	"k8s.io/klog/v2"
)

func TestMain(m *testing.M) {
	flags := flag.NewFlagSet("klog", flag.ExitOnError)
	klog.InitFlags(flags)
	_ = flags.Parse([]string{"-logtostderr=false", "-stderrthreshold=FATAL"})
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}
