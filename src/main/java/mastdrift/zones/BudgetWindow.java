package mastdrift.zones;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.time.temporal.ChronoUnit;
import java.util.Locale;

/** The windows that budgets are for, in UTC. */
public enum BudgetWindow {
    /** From a full minute to the next. */
    MINUTE(ChronoUnit.MINUTES),
    /** Likewise. */
    HOUR(ChronoUnit.HOURS),
    /** From midnight to midnight. */
    DAY(ChronoUnit.DAYS),
    /** A calendar month. */
    MONTH(ChronoUnit.MONTHS);

    private final ChronoUnit unit;

    BudgetWindow(ChronoUnit unit) {
        this.unit = unit;
    }

    /** As files write it. */
    public String settingName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** The beginning of the window that holds a time; milliseconds since 1970. */
    public long startMillis(long millis) {
        return start(millis).toInstant().toEpochMilli();
    }

    /** Its end, which is the next one's beginning. */
    public long endMillis(long millis) {
        return start(millis).plus(1, unit).toInstant().toEpochMilli();
    }

    private ZonedDateTime start(long millis) {
        ZonedDateTime at = Instant.ofEpochMilli(millis).atZone(ZoneOffset.UTC);
        return unit == ChronoUnit.MONTHS ? at.truncatedTo(ChronoUnit.DAYS).withDayOfMonth(1) : at.truncatedTo(unit);
    }
}
