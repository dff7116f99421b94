package upstream

import (
	"database/sql/driver"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgtype"
)

// Object identifiers of the supported types.
const (
	oidBool      = pgtype.BoolOID
	oidBytea     = pgtype.ByteaOID
	oidInt8      = pgtype.Int8OID
	oidInt2      = pgtype.Int2OID
	oidInt4      = pgtype.Int4OID
	oidText      = pgtype.TextOID
	oidFloat4    = pgtype.Float4OID
	oidFloat8    = pgtype.Float8OID
	oidVarchar   = pgtype.VarcharOID
	oidTimestamp = pgtype.TimestampOID
	oidNumeric   = pgtype.NumericOID
)

// Formats of values in the protocol.
const (
	formatText   = 0
	formatBinary = 1
)

// typeOIDs maps PostgreSQL type names. Types that are missing here are text;
// timestamps travel as text.
var typeOIDs = map[string]uint32{
	"BOOL": oidBool, "BOOLEAN": oidBool, "BYTEA": oidBytea, "BLOB": oidBytea,
	"BIGINT": oidInt8, "INT8": oidInt8, "BIGSERIAL": oidInt8,
	"INT": oidInt4, "INTEGER": oidInt4, "INT4": oidInt4, "SERIAL": oidInt4,
	"SMALLINT": oidInt2, "INT2": oidInt2, "SMALLSERIAL": oidInt2,
	"REAL": oidFloat4, "FLOAT4": oidFloat4, "FLOAT8": oidFloat8, "DOUBLE": oidFloat8, "FLOAT": oidFloat8,
	"DOUBLE PRECISION": oidFloat8, "NUMERIC": oidNumeric, "DECIMAL": oidNumeric,
	"VARCHAR": oidVarchar, "CHARACTER VARYING": oidVarchar,
}

// oidOfType maps a declared type, such as numeric(10,2), to its identifier.
func oidOfType(name string) uint32 {
	name = strings.ToUpper(name)
	if at := strings.IndexByte(name, '('); at >= 0 {
		name = strings.TrimSpace(name[:at])
	}
	if oid, ok := typeOIDs[name]; ok {
		return oid
	}
	return oidText
}

// typeSize is the size that RowDescription reports; -1 means variable.
func typeSize(oid uint32) int16 {
	switch oid {
	case oidBool:
		return 1
	case oidInt2:
		return 2
	case oidInt4, oidFloat4:
		return 4
	case oidInt8, oidFloat8:
		return 8
	}
	return -1
}

// appendValue appends a value of SQLite in the wire format of the type; the
// second result is false for NULL.
func appendValue(buffer []byte, value driver.Value, oid uint32, format int16) ([]byte, bool, error) {
	if value == nil {
		return buffer, false, nil
	}
	if format == formatBinary {
		encoded, err := appendBinary(buffer, value, oid)
		return encoded, true, err
	}
	return appendText(buffer, value, oid), true, nil
}

func appendText(buffer []byte, value driver.Value, oid uint32) []byte {
	switch v := value.(type) {
	case int64:
		if oid == oidBool {
			return append(buffer, boolText(v != 0)...)
		}
		return strconv.AppendInt(buffer, v, 10)
	case float64:
		if oid == oidInt8 || oid == oidInt4 || oid == oidInt2 {
			return strconv.AppendInt(buffer, int64(v), 10)
		}
		return strconv.AppendFloat(buffer, v, 'g', -1, 64)
	case bool:
		return append(buffer, boolText(v)...)
	case []byte:
		if oid != oidBytea {
			return append(buffer, v...)
		}
		return hex.AppendEncode(append(buffer, `\x`...), v)
	case time.Time:
		return v.UTC().AppendFormat(buffer, timestampFormat)
	case string:
		return append(buffer, v...)
	}
	return fmt.Append(buffer, value)
}

func boolText(v bool) string {
	if v {
		return "t"
	}
	return "f"
}

func appendBinary(buffer []byte, value driver.Value, oid uint32) ([]byte, error) {
	switch oid {
	case oidBool:
		if integerOf(value) != 0 {
			return append(buffer, 1), nil
		}
		return append(buffer, 0), nil
	case oidInt2:
		return binary.BigEndian.AppendUint16(buffer, uint16(integerOf(value))), nil
	case oidInt4:
		return binary.BigEndian.AppendUint32(buffer, uint32(integerOf(value))), nil
	case oidInt8:
		return binary.BigEndian.AppendUint64(buffer, uint64(integerOf(value))), nil
	case oidFloat4:
		return binary.BigEndian.AppendUint32(buffer, math.Float32bits(float32(floatOf(value)))), nil
	case oidFloat8:
		return binary.BigEndian.AppendUint64(buffer, math.Float64bits(floatOf(value))), nil
	case oidNumeric:
		var numeric pgtype.Numeric
		if err := numeric.Scan(string(appendText(nil, value, oid))); err != nil {
			return buffer, err
		}
		types := typeMaps.Get().(*pgtype.Map)
		defer typeMaps.Put(types)
		return types.Encode(oid, pgtype.BinaryFormatCode, numeric, buffer)
	case oidBytea:
		if v, ok := value.(string); ok {
			return append(buffer, v...), nil
		}
		if v, ok := value.([]byte); ok {
			return append(buffer, v...), nil
		}
	}
	return appendText(buffer, value, oid), nil
}

// typeMaps holds maps that convert numeric values. One map is not safe for
// concurrent use.
var typeMaps = sync.Pool{New: func() any { return pgtype.NewMap() }}

func integerOf(value driver.Value) int64 {
	switch v := value.(type) {
	case int64:
		return v
	case float64:
		return int64(v)
	case bool:
		if v {
			return 1
		}
	case string:
		if n, err := strconv.ParseInt(v, 10, 64); err == nil {
			return n
		}
		if v == "t" || v == "true" {
			return 1
		}
	}
	return 0
}

func floatOf(value driver.Value) float64 {
	switch v := value.(type) {
	case float64:
		return v
	case int64:
		return float64(v)
	case string:
		f, _ := strconv.ParseFloat(v, 64)
		return f
	}
	return 0
}

// parameterValue decodes an argument of Bind. It copies data.
func parameterValue(data []byte, oid uint32, format int16) (driver.Value, error) {
	if data == nil {
		return nil, nil
	}
	if format == formatBinary {
		return binaryParameter(data, oid)
	}
	text := string(data)
	switch oid {
	case oidBool:
		v, err := parseBool(text)
		return v, err
	case oidInt2, oidInt4, oidInt8:
		v, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
		return v, errors.Wrap(err, "invalid integer")
	case oidFloat4, oidFloat8:
		v, err := strconv.ParseFloat(text, 64)
		return v, errors.Wrap(err, "invalid floating-point number")
	case oidBytea:
		if rest, ok := strings.CutPrefix(text, `\x`); ok {
			v, err := hex.DecodeString(rest)
			return v, errors.Wrap(err, "invalid bytea")
		}
		return []byte(text), nil
	}
	return text, nil
}

func parseBool(text string) (int64, error) {
	switch strings.ToLower(text) {
	case "t", "true", "1", "on", "yes", "y":
		return 1, nil
	case "f", "false", "0", "off", "no", "n":
		return 0, nil
	}
	return 0, errors.Newf("invalid boolean %q", text)
}

func binaryParameter(data []byte, oid uint32) (driver.Value, error) {
	size := int(typeSize(oid))
	if size > 0 && len(data) != size {
		return nil, errors.Newf("binary argument of type %d has %d bytes instead of %d", oid, len(data), size)
	}
	switch oid {
	case oidBool:
		return int64(data[0]), nil
	case oidInt2:
		return int64(int16(binary.BigEndian.Uint16(data))), nil
	case oidInt4:
		return int64(int32(binary.BigEndian.Uint32(data))), nil
	case oidInt8:
		return int64(binary.BigEndian.Uint64(data)), nil
	case oidFloat4:
		return float64(math.Float32frombits(binary.BigEndian.Uint32(data))), nil
	case oidFloat8:
		return math.Float64frombits(binary.BigEndian.Uint64(data)), nil
	case oidBytea:
		return append([]byte{}, data...), nil
	case oidNumeric:
		var text string
		types := typeMaps.Get().(*pgtype.Map)
		defer typeMaps.Put(types)
		err := types.Scan(oid, pgtype.BinaryFormatCode, data, &text)
		return text, errors.Wrap(err, "invalid numeric")
	case oidTimestamp, pgtype.TimestamptzOID:
		micros := int64(binary.BigEndian.Uint64(data))
		return postgresEpoch.Add(time.Duration(micros) * time.Microsecond).Format(timestampFormat), nil
	}
	return string(data), nil
}

// postgresEpoch is the zero of binary timestamps.
var postgresEpoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
