/** What the load tool and the model draw alike, from named streams of one seed: when requests are due, of which class and
    key they are, how long work takes. Without I/O, threads or a clock. */
package mastdrift.lab.draw;
