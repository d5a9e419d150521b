package mastdrift.net;

/** Starts the platform's gateway with no platform round it, and ends it once it has rehearsed and listens. The build records
    which classes that takes, for the archive that a start reads them from (JEP 310): read from the jar and verified class by
    class they are a third of a start. What is archived is what the gateway loads anyway, nothing of a subsystem that is off. */
public final class DryStart {

    private static final long ASKED_MILLIS = 800;  // by then the module has asked discovery, which nobody answers here

    private DryStart() { }

    /** Reads its configuration as {@link Main} does; exits with status 2 where that can't be run with. */
    public static void main(String[] args) throws InterruptedException {
        Main.quiet();
        Config config = Config.read(System.getenv());
        Main.Started started = Main.prepare(config, TimedEventLoop.start(), false, System.out);
        Main.rehearse(config, TimedEventLoop.start(), System.out::println);
        Main.listen(started, config, System.out);
        Thread.sleep(ASKED_MILLIS);
        System.exit(0);
    }
}
