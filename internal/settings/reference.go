package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Setting describes one setting, for help texts and the documentation.
type Setting struct {
	// Key is the path of the setting, such as store.timeout.
	Key string
	// Default is the default value in YAML; empty if there is none.
	Default string
}

// Reference lists all settings of a struct that DefaultEntry or DefaultSidecar
// returned, in order.
func Reference(defaults any) []Setting {
	return listSettings("", reflect.ValueOf(defaults))
}

func listSettings(prefix string, v reflect.Value) []Setting {
	var out []Setting
	for i := range v.NumField() {
		tag := v.Type().Field(i).Tag.Get("yaml")
		field := v.Field(i)
		if strings.HasSuffix(tag, ",inline") {
			out = append(out, listSettings(prefix, field)...)
			continue
		}
		if field.Kind() == reflect.Struct {
			out = append(out, listSettings(prefix+tag+".", field)...)
			continue
		}
		out = append(out, Setting{Key: prefix + tag, Default: defaultText(field)})
	}
	return out
}

func defaultText(v reflect.Value) string {
	if v.Kind() == reflect.Slice || v.Kind() == reflect.String && v.Len() == 0 {
		return ""
	}
	return fmt.Sprint(v.Interface())
}

// Help formats the settings for a help text, one per line.
func Help(defaults any) string {
	var b strings.Builder
	for _, s := range Reference(defaults) {
		value := s.Default
		if value == "" {
			value = "-"
		}
		fmt.Fprintf(&b, "  %-32s %s\n", s.Key, value)
	}
	return b.String()
}
