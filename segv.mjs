import { SoakCluster } from "/work/dev/platform/dist/soak/soak_cluster.js";
import { SoakClients } from "/work/dev/platform/dist/soak/soak_clients.js";
const vms=Number(process.argv[2]), seconds=Number(process.argv[3]);
const cluster=new SoakCluster(); const clients=new SoakClients(cluster.recorder.sentAtMs);
cluster.unusedRoutes=1400;
await cluster.start(vms, 12);
const end=performance.now()+1000*seconds; let restarts=0, reqs=0, starts=vms; const odd=[];
const sleep=(ms)=>new Promise(r=>setTimeout(r,ms));
const load=async()=>{ while(performance.now()<end){ const vm=cluster.vms[Math.floor(Math.random()*vms)]; reqs++; clients.request({port:vm.frontPort,path:"/keyed/1",key:Math.floor(Math.random()*65536)}).catch(()=>{}); await sleep(4); if(clients.responses.length>5000) clients.responses.length=0; } };
const restart=async(k)=>{ while(performance.now()<end){ const vm=cluster.vms[Math.floor(Math.random()*vms)]; if(vm.busy) {await sleep(5);continue;} vm.busy=true; try{ const p=vm.program; const t=Math.random()<0.5?"SIGTERM":"SIGKILL"; process.kill(p.pid,t); const code=await p.exited?.catch?.(()=>"?")??null; await sleep(t==="SIGTERM"?2600:100); try{process.kill(p.pid,"SIGKILL")}catch{}; await sleep(50); await vm.start(); starts++; restarts++; }catch(e){odd.push(String(e).slice(0,200))} vm.busy=false; } };
const cfg=async()=>{ while(performance.now()<end){ cluster.writeConfig(); await sleep(1500);} };
// watch for ends
const alive=new Map();
const mon=async()=>{ while(performance.now()<end){ for(const vm of cluster.vms){ const p=vm.program; if(!p||vm.busy) continue; if(p.hasExited){ const e=await p.exited(); odd.push(vm.name+" ended by itself "+JSON.stringify(e)+"; last: "+p.lines.slice(-2).join(" | ").slice(0,300)); vm.busy=true; await vm.start(); vm.busy=false;} } await sleep(500);} };
await Promise.all([load(),load(),restart(1),restart(2),restart(3),cfg(),mon()]);
console.log({vms,seconds,starts,restarts,reqs,processMinutes:vms*seconds/60,odd});
process.exit(0);
