/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

/**
 * Is told of what a box has just written about jobs. Each method returns at once, and nothing
 * depends on it: the owner follows the store.
 */
public interface JobListener
{
    /** @param job the id of a job whose record was written */
    void onJobWritten(String job);

    /** @param job the id of a job whose cancellation was written */
    void onJobCancelled(String job);
}
