package mastdrift.zones;

import java.time.Instant;
import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import java.time.temporal.ChronoUnit;
import java.util.Locale;

/** The period that a budget applies to, by the calendar in UTC. */
public enum BudgetWindow {
    /** One minute, from second 0. */
    MINUTE(ChronoUnit.MINUTES),
    /** One hour, from minute 0. */
    HOUR(ChronoUnit.HOURS),
    /** One day, from midnight. */
    DAY(ChronoUnit.DAYS),
    /** One calendar month. */
    MONTH(ChronoUnit.MONTHS);

    private final ChronoUnit unit;

    BudgetWindow(ChronoUnit unit) {
        this.unit = unit;
    }

    /** The window's name in settings and files: the constant's name in lower case. */
    public String settingName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** The start of the window that contains a time, both in milliseconds since 1970. */
    public long startMillis(long millis) {
        return start(millis).toInstant().toEpochMilli();
    }

    /** The end of the window that contains a time, which is the start of the next one. */
    public long endMillis(long millis) {
        return start(millis).plus(1, unit).toInstant().toEpochMilli();
    }

    private ZonedDateTime start(long millis) {
        ZonedDateTime at = Instant.ofEpochMilli(millis).atZone(ZoneOffset.UTC);
        return unit == ChronoUnit.MONTHS ? at.truncatedTo(ChronoUnit.DAYS).withDayOfMonth(1) : at.truncatedTo(unit);
    }
}
