package mastdrift.net;

/**
 * Starts the platform's gateway without the platform, and ends it once it has warmed up and listens. The build records
 * which classes a start loads, for the class data sharing archive that starts read them from (JEP 310): reading them
 * from the jar and verifying them one by one takes a third of a start. The archive holds only what the gateway loads
 * anyway, nothing of a subsystem that is off.
 */
public final class DryStart {

    // By then the module has called discovery, which nobody answers here.
    private static final long DISCOVERY_CALL_MILLIS = 800;

    private DryStart() { }

    /** Reads the configuration as {@link Main} does, and throws IllegalArgumentException if it is invalid. */
    public static void main(String[] args) throws InterruptedException {
        Main.disableNettyLog();
        GatewayConfig config = GatewayConfig.read(System.getenv());
        Main.StartedGateway started = Main.prepare(config, TimedEventLoop.start(), false, System.out);
        Main.warmUp(config, TimedEventLoop.start(), System.out::println);
        Main.listen(started, config, System.out);
        Thread.sleep(DISCOVERY_CALL_MILLIS);
        System.exit(0);
    }
}
