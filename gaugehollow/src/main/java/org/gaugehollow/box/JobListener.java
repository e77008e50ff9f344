/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

/**
 * Notified of job records and cancellations that this box has written. Methods must not block.
 * Delivery is best effort, because the owner also watches the store.
 */
public interface JobListener
{
    /** @param job id of the job whose record was written */
    void onJobWritten(String job);

    /** @param job id of the job whose cancellation was written */
    void onJobCancelled(String job);
}
