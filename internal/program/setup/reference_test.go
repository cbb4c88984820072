package setup

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const referencePage = "../../../docs/operators/running.md"

// referenceRow is a row of the table of settings in the operators' documentation.
type referenceRow struct {
	unit, defaultValue, allowed string
}

// unitsBySuffix maps the suffix of a setting's name to its unit.
var unitsBySuffix = map[string]string{
	"Ms": "ms", "Bytes": "bytes", "Permille": "permille", "Percent": "percent", "PerSecond": "tokens/s",
}

// addReferenceRows adds a row for every setting of a struct, nested ones included.
func addReferenceRows(into map[string]referenceRow, path string, v reflect.Value) {
	for field, value := range v.Fields() {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		settingPath := joinPath(path, name)
		if value.Kind() == reflect.Pointer {
			value = reflect.New(value.Type().Elem()).Elem()
		}
		if value.Kind() == reflect.Struct {
			addReferenceRows(into, settingPath, value)
			continue
		}
		into[settingPath] = referenceRow{unit: unitOf(name), defaultValue: defaultOf(value), allowed: allowedValues(field.Tag.Get("validate"))}
	}
}

func unitOf(name string) string {
	for suffix, unit := range unitsBySuffix {
		if strings.HasSuffix(name, suffix) {
			return unit
		}
	}
	return ""
}

func defaultOf(v reflect.Value) string {
	if v.IsZero() {
		return ""
	}
	return fmt.Sprint(v.Interface())
}

func allowedValues(tag string) string {
	var parts []string
	for rule := range strings.SplitSeq(tag, ",") {
		name, value, _ := strings.Cut(rule, "=")
		switch name {
		case "", "omitempty":
		case "oneof":
			parts = append(parts, strings.Join(strings.Fields(value), " "))
		case "required_with":
			parts = append(parts, "needed beside the other files")
		default:
			parts = append(parts, strings.TrimSpace(name+" "+value))
		}
	}
	return strings.Join(parts, ", ")
}

// readReference returns the rows of the table in the documentation, by the path of the setting.
func readReference(t *testing.T) map[string]referenceRow {
	t.Helper()
	page, err := os.ReadFile(referencePage)
	require.NoError(t, err)
	found := map[string]referenceRow{}
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
		if len(cells) != 5 || !strings.HasPrefix(line, "| `") {
			continue
		}
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		require.NotEmpty(t, cells[1], "%s has no meaning", cells[0])
		found[strings.Trim(cells[0], "`")] = referenceRow{unit: cells[2], defaultValue: cells[3], allowed: cells[4]}
	}
	return found
}

// Guards against a setting, default or bound that was changed in the code but not in the documentation, or vice versa.
func TestSettingsReferenceMatchesCode(t *testing.T) {
	want := map[string]referenceRow{}
	addReferenceRows(want, "", reflect.ValueOf(Default()))
	require.Equal(t, want, readReference(t))
}
