package mastdrift.lab.model;

import mastdrift.engine.Answer;

/** The answer of a node. */
record ModelAnswer(ModelNode node) implements Answer { }
