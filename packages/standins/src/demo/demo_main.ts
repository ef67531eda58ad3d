/**
 * Runs a scaled choice of both deployments' services on this machine, shows
 * one request answered and prints what to try next. Ends on Ctrl-C.
 */
import * as contracts from "@guavatide/contracts";
import * as plans from "../deployment/deployment_plan.ts";
import { LocalDeployment } from "../deployment/local_deployment.ts";

const WAIT_TIMEOUT_MS = 15_000;
const RETRY_INTERVAL_MS = 200;

const PLAN: plans.DeploymentPlan = {
  ...plans.scalePlan(plans.KAYFA, { entryVms: 3, serversAtMost: 4 }),
  services: [...plans.KAYFA.services, ...plans.BITACORA.services]
    .map((service) => ({ ...service, servers: 4 })),
};

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

async function askUntilAnswered(
  deployment: LocalDeployment,
  vm: string,
): Promise<Response> {
  const deadline = Date.now() + WAIT_TIMEOUT_MS;
  const address = `${deployment.callerUrl(vm)}/s/availability/slots`;
  while (true) {
    const answer = await fetch(address, {
      headers: { [contracts.KEY_HEADER]: "booth-17" },
    });
    const isAnswered =
      answer.headers.get(contracts.OUTCOME_HEADER) === "answered";
    if (isAnswered || Date.now() > deadline) return answer;
    await answer.text();
    await new Promise((resolve) => setTimeout(resolve, RETRY_INTERVAL_MS));
  }
}

async function main(): Promise<void> {
  const deployment = await LocalDeployment.start({ plan: PLAN });
  let isStopping = false;
  const stop = async () => {
    if (isStopping) return;
    isStopping = true;
    say("Stopping; requests in flight end first.");
    await deployment.stop();
    process.exit(0);
  };
  process.once("SIGINT", () => void stop());
  process.once("SIGTERM", () => void stop());
  say(`store and VM list: ${deployment.storeUrl} ${deployment.vmListUrl}`);
  for (const [vm, entry] of deployment.entries) {
    say(`${vm} pid ${entry.program.pid}: ${deployment.callerUrl(vm)}`);
  }
  for (const vm of [...deployment.entries.keys()].slice(0, 2)) {
    const answer = await askUntilAnswered(deployment, vm);
    const outcome = answer.headers.get(contracts.OUTCOME_HEADER);
    say(`GET /s/availability/slots for key booth-17 through ${vm}:`);
    say(`  status ${answer.status}, ${outcome}: ${await answer.text()}`);
  }
  const first = deployment.callerUrl("entry-1");
  say("Try next:");
  say(`  curl -i -H 'guavatide-key: booth-17' ${first}/s/availability/slots`);
  say(`  curl -i -X POST -d '{}' ${first}/s/reservations/bookings`);
  say(`  curl ${deployment.metricsUrl("entry-1")}/metrics`);
  say("Ctrl-C ends everything.");
}

await main();
