package soak_test

import (
	"bufio"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	// maxLoggedViolations bounds the violations of a run whose log lines are printed.
	maxLoggedViolations = 3
	// maxLinesPerLog bounds the lines of one log that are printed for a violation.
	maxLinesPerLog = 60
)

var (
	taskPattern     = regexp.MustCompile(`\b[0-9a-f]{16}(\.\d+){3}\b`)
	executorPattern = regexp.MustCompile(`\bi-\d+-\d+\b`)
)

// logViolations prints the log lines that concern the first violations, since a run that
// fails seldom repeats and its logs are kept only on demand.
func (f *fleet) logViolations(violations []string) {
	for _, violation := range violations[:min(len(violations), maxLoggedViolations)] {
		lines := linesAbout(f.t, f.logDir, violation)
		f.t.Logf("logs about %q:\n%s", violation, strings.Join(lines, "\n"))
	}
}

// linesAbout returns the lines of all logs in a directory that name the task of a
// violation, or only an executor of it, each with the name of the log.
func linesAbout(t *testing.T, dir, violation string) []string {
	task := taskPattern.FindString(violation)
	executors := executorPattern.FindAllString(violation, -1)
	if task == "" {
		return nil
	}
	var lines []string
	for _, pattern := range []string{"*.log", "*.txt"} {
		paths, err := filepath.Glob(filepath.Join(dir, pattern))
		assert.NilError(t, err)
		for _, path := range paths {
			lines = append(lines, linesOfLog(t, path, func(line string) bool {
				if named := taskPattern.FindString(line); named != "" {
					return named == task
				}
				return containsAny(line, executors)
			})...)
		}
	}
	return lines
}

func linesOfLog(t *testing.T, path string, concerns func(line string) bool) []string {
	file, err := os.Open(path)
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	var lines []string
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, megabyte)
	for scanner.Scan() {
		if concerns(scanner.Text()) {
			lines = append(lines, filepath.Base(path)+": "+scanner.Text())
		}
	}
	assert.NilError(t, scanner.Err())
	return lines[max(0, len(lines)-maxLinesPerLog):]
}

func containsAny(line string, names []string) bool {
	for _, name := range names {
		if strings.Contains(line, name) {
			return true
		}
	}
	return false
}

// Guards against a failure whose cause can't be seen because its log lines are missing.
func TestLinesAboutAViolation(t *testing.T) {
	dir := t.TempDir()
	write := func(name string, lines ...string) {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	}
	write("entry-0.log", "run 1 of 0000007702000030.0.0.1 on i-1-2", "run 1 of 0000007702000030.0.0.2 on i-1-2", "i-1-2 restarts", "i-3-4 restarts")
	write("executors.txt", "i-2-3: run 2 of 0000007702000030.0.0.2: done")
	lines := linesAbout(t, dir, "run 2 of 0000007702000030.0.0.2 starts on i-2-3 while run 1 is in progress on i-1-2")
	assert.DeepEqual(t, lines, []string{
		"entry-0.log: run 1 of 0000007702000030.0.0.2 on i-1-2",
		"entry-0.log: i-1-2 restarts",
		"executors.txt: i-2-3: run 2 of 0000007702000030.0.0.2: done",
	})
}
