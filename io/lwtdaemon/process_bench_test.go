package lwtdaemon_test

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	idleDaemons  = 4
	idleWarmup   = 25 * time.Second
	idleDuration = 60 * time.Second
	clockTicks   = 100 // per second, fixed on Linux
)

// BenchmarkIdleProcesses measures the CPU, network and memory usage of a daemon process
// without callers, with 4 daemons on loopback. It takes 90 s.
func BenchmarkIdleProcesses(b *testing.B) {
	for b.Loop() {
		processes := startProcesses(b, idleDaemons, newTestBackend(b).platform, "")
		time.Sleep(idleWarmup)
		cpu, sent, messages := totalUsage(b, processes)
		start := time.Now()
		time.Sleep(idleDuration)
		cpuAfter, sentAfter, messagesAfter := totalUsage(b, processes)
		daemonSeconds := time.Since(start).Seconds() * idleDaemons
		b.ReportMetric((cpuAfter-cpu).Seconds()/daemonSeconds*100, "core-%/daemon")
		b.ReportMetric((sentAfter-sent)/daemonSeconds, "peer-B/s/daemon")
		b.ReportMetric((messagesAfter-messages)/daemonSeconds, "peer-msg/s/daemon")
		b.ReportMetric(residentMegabytes(b, processes)/idleDaemons, "resident-MB/daemon")
	}
	b.ReportMetric(0, "ns/op")
}

func totalUsage(b *testing.B, processes []*process) (cpu time.Duration, sent, messages float64) {
	b.Helper()
	for _, process := range processes {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process.Process.Pid))
		if err != nil {
			b.Fatal(err)
		}
		statFields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
		for _, field := range statFields[11:13] {
			ticks, err := strconv.Atoi(field)
			if err != nil {
				b.Fatal(err)
			}
			cpu += time.Duration(ticks) * time.Second / clockTicks
		}
		process.mutex.Lock()
		sent += loggedValue(b, process.trafficLine, "bytes-sent")
		messages += loggedValue(b, process.trafficLine, "messages-sent")
		process.mutex.Unlock()
	}
	return cpu, sent, messages
}

func loggedValue(b *testing.B, line, key string) float64 {
	b.Helper()
	match := regexp.MustCompile(key + `=(\d+)`).FindStringSubmatch(line)
	if match == nil {
		b.Fatalf("no %s in %q", key, line)
	}
	value, err := strconv.ParseFloat(match[1], 64)
	if err != nil {
		b.Fatal(err)
	}
	return value
}

func residentMegabytes(b *testing.B, processes []*process) float64 {
	b.Helper()
	sum := 0.0
	for _, process := range processes {
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
		if err != nil {
			b.Fatal(err)
		}
		match := regexp.MustCompile(`VmRSS:\s+(\d+) kB`).FindSubmatch(status)
		if match == nil {
			b.Fatal("no VmRSS in the process status")
		}
		kilobytes, err := strconv.ParseFloat(string(match[1]), 64)
		if err != nil {
			b.Fatal(err)
		}
		sum += kilobytes / 1024
	}
	return sum
}
