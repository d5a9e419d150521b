import java.io.IOException;
import java.nio.file.Path;

/** The configuration of a gateway on the platform: norte-recarga at the size to come, with nine gateways. */
final class PlatformConfig {

    static final long DRAIN_GRACE_MILLIS = 250;

    private PlatformConfig() { }

    /** Writes it; {@code known} is a list in discovery's form. */
    static Path write(CaseRun run, String name, int port, int discoveryPort, String known) throws IOException {
        return run.write(name + ".json", """
                {"name":"%s","listen":"127.0.0.1:%d","discovery":"127.0.0.1:%d","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
                 "known":%s,
                 "settings":{
                  "allowed":{"cancel":true,"conn_idle":5000000,"cpu_us_per_s":15000,"dial_timeout":150000,"max_attempts":4,"max_open":20000,
                   "max_retry_after":2000000,"may_tell":false,"parallel_tries":true,"probes":true,"retry_after":false,"streams_per_conn":1},
                  "balancers":9,
                  "classes":[
                   {"name":"charger-status","target":300000,"deadline":1500000,"credit":1.0,"late_share":0.5,"repeat":"read_like","group":"all","dedup_window":5000000},
                   {"name":"session-read","target":600000,"deadline":2500000,"credit":1.0,"late_share":0.5,"repeat":"read_like","group":"all","dedup_window":5000000},
                   {"name":"session-start","target":600000,"deadline":1500000,"credit":1.0,"late_share":0.5,"repeat":"idempotency_key","group":"zone","dedup_window":1500000}],
                  "dcs":["bilbao","oviedo"],
                  "guarantees":{"answer_slack":50000,"cold_from":0.13,"drain_grace":%d,"fall":2000000,"must_ask_in":10000000,"tip_multiple":3.0,"warm_within":24000000},
                  "locality":"bilbao","me":0,"registry_mode":"on_request",
                  "tenants":[{"name":"cantabrica-carga","fraction":1.0,"quota_per_s":1000.0}],
                  "weights":"nominal"}}
                """.formatted(name, port, discoveryPort, known, DRAIN_GRACE_MILLIS * 1_000));
    }
}
