/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.box;

/** A listener that ignores all notifications. */
final class NoOpJobListener implements JobListener
{
    @Override
    public void onJobWritten(String job)
    {
        // ignored
    }

    @Override
    public void onJobCancelled(String job)
    {
        // ignored
    }
}
