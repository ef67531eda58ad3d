/**
 * Runs a scaled choice of both deployments' services on this machine, shows
 * one request answered and prints what to try next. Ends on Ctrl-C.
 */
import * as contracts from "@guavatide/contracts";
import * as plans from "../deployment/deployment_plan.ts";
import {
  LOCAL_OPERATOR_TOKEN,
  LocalDeployment,
} from "../deployment/local_deployment.ts";

const WAIT_TIMEOUT_MS = 15_000;
const RETRY_INTERVAL_MS = 200;

const PLAN: plans.DeploymentPlan = {
  ...plans.scalePlan(plans.KAYFA, { entryVms: 3, maxServersPerService: 4 }),
  otherPartners: [plans.BITACORA.partner],
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

function sayNext(deployment: LocalDeployment): void {
  const callers = deployment.callerUrl("entry-1");
  const metrics = deployment.metricsUrl("entry-1");
  say("Try next, in another shell:");
  say(`  curl -i -H 'guavatide-key: booth-17' ${callers}/s/availability/slots`);
  say(`  curl -i -X POST -d '{}' ${callers}/s/reservations/bookings`);
  say(`  curl ${metrics}/metrics`);
  say("As an operator:");
  say(`  export GUAVATIDE_URL=${deployment.administrationUrl("entry-2")}`);
  say(`  export GUAVATIDE_TOKEN=${LOCAL_OPERATOR_TOKEN}`);
  say("  npx guavatidectl get cost-share/availability-split");
  say(
    "  npx guavatidectl edit cost-share/availability-split --set " +
      `'shares=[{"partner":"kayfa","percent":60},` +
      `{"partner":"bitacora","percent":40}]'`,
  );
  say("  npx guavatidectl diff && npx guavatidectl publish");
  say("  npx guavatidectl drain availability-1 --reason 'new release'");
  say("  npx guavatidectl owners availability && npx guavatidectl moves");
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
  sayNext(deployment);
  say("Ctrl-C ends everything.");
}

await main();
