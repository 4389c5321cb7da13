/**
 * The jobs that this controller knows: the table of active and lately terminated jobs, their dependencies, the log of known
 * cancellations, and the stored form of a job.
 *
 * <p>State: everything in {@link org.landingridge.controller.jobs.JobTable}, derived from the watch on the jobs' keys, from
 * commits of this process and from cancellations that other controllers vouch for. All of it belongs to the event loop; nothing
 * here locks or blocks. Depends on module {@code wire} alone; the archive of terminated jobs is package {@code history}.
 */
package org.landingridge.controller.jobs;
